import tseslint from "typescript-eslint";

const noPlatformFolder = {
    regex: "^(\\.\\./){2,}platform/",
    message: "The product knows nothing of the folder that translates for one platform.",
};

export default tseslint.config(
    {
        ignores: [
            "dist/**",
            "target/**",
            "node_modules/**",
            "jest.config.js",
            "tools/acceptKnownFailures.js",
        ],
    },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "prefer-arrow-callback": ["error", { allowNamedFunctions: true }],
            "no-restricted-syntax": [
                "error",
                { selector: "TSEnumDeclaration", message: "Use a constant object in place of an enum." },
                {
                    selector: "TSInterfaceDeclaration[id.name=/^I[A-Z]/]",
                    message: "Interfaces carry no I prefix.",
                },
            ],
            "@typescript-eslint/no-unused-vars": ["error", {
                argsIgnorePattern: "^_",
                varsIgnorePattern: "^_",
            }],
            "max-lines": ["error", { max: 400, skipBlankLines: true, skipComments: true }],
        },
    },
    {
        files: ["src/**/*.ts"],
        rules: { "no-restricted-imports": ["error", { patterns: [noPlatformFolder] }] },
    },
    {
        files: ["src/routing/**/*.ts", "src/admission/**/*.ts", "src/declaration/**/*.ts"],
        ignores: ["**/*.test.ts"],
        rules: {
            "no-restricted-imports": ["error", {
                patterns: [noPlatformFolder, {
                    group: ["**/platform/*", "**/callers/*", "**/daemon/*", "**/cli/*"],
                    message: "Policies take plain data and know nothing of adapters.",
                }],
            }],
        },
    },
    {
        files: ["src/callers/**/*.ts"],
        ignores: ["**/*.test.ts"],
        rules: {
            "no-restricted-imports": ["error", {
                patterns: [noPlatformFolder, {
                    group: ["**/platform/http*", "**/daemon/*", "**/cli/*"],
                    message: "Callers know nothing of platform adapters.",
                }],
            }],
        },
    },
    {
        files: ["src/**/*.ts"],
        rules: {
            "no-restricted-globals": ["error", { name: "Date", message: "Use the injected Clock." }],
            "no-restricted-properties": ["error", {
                object: "Math",
                property: "random",
                message: "Use the injected RandomSource.",
            }],
        },
    },
    {
        files: ["src/kernel/SystemClock.ts", "src/kernel/SystemClock.test.ts"], // the clock that is injected
        rules: { "no-restricted-globals": "off" },
    },
);
