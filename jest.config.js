module.exports = {
    testEnvironment: "node",
    roots: ["<rootDir>/src", "<rootDir>/platform", "<rootDir>/standins", "<rootDir>/bench", "<rootDir>/soak", "<rootDir>/demo", "<rootDir>/tools"],
    transform: {
        "^.+\\.ts$": ["@swc/jest", { jsc: { parser: { syntax: "typescript" }, target: "es2022" }, module: { type: "commonjs" } }]
    },
    testTimeout: 60000,
    testResultsProcessor: "<rootDir>/tools/acceptKnownFailures.js",
    forceExit: true
};
