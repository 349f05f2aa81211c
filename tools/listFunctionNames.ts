import { readFileSync } from "node:fs";
import ts from "typescript";

/** A named function, method or arrow function. */
export interface NamedFunction {
    readonly name: string;
    readonly file: string;
    readonly line: number;
}

/**
 * Lists the named functions of a source file. Anonymous functions, such as inline callbacks, are left out.
 *
 * @param file - path of a TypeScript file
 * @returns functions, methods and variables initialized with an arrow function
 */
export const listFunctionNames = (file: string): NamedFunction[] => {
    const source = ts.createSourceFile(file, readFileSync(file, "utf8"), ts.ScriptTarget.ES2022, true);
    const found: NamedFunction[] = [];
    const visit = (node: ts.Node): void => {
        const name = readFunctionName(node);
        if (name !== undefined) {
            const { line } = source.getLineAndCharacterOfPosition(node.getStart());
            found.push({ name, file, line: line + 1 });
        }
        ts.forEachChild(node, visit);
    };
    visit(source);
    return found;
};

const readFunctionName = (node: ts.Node): string | undefined => {
    if (
        (ts.isFunctionDeclaration(node) || ts.isMethodDeclaration(node)) && node.name
        && ts.isIdentifier(node.name)
    ) {
        return node.name.text;
    }
    if (
        ts.isVariableDeclaration(node) && ts.isIdentifier(node.name) && node.initializer
        && ts.isArrowFunction(node.initializer)
    ) {
        return node.name.text;
    }
    return undefined;
};
