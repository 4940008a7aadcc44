import type { Configuration, OperationDeclaration } from "@gooseberrybend/core";

/** Finds the declared operation that matches a call, or undefined if there is none. */
export function matchOperation(
    configuration: Configuration,
    service: string,
    method: string,
    path: string,
): OperationDeclaration | undefined {
    for (const operation of configuration.operations.values()) {
        if (operation.service === service && operation.method === method && matchesPath(operation.path, path)) {
            return operation;
        }
    }
    return undefined;
}

function matchesPath(pattern: string, path: string): boolean {
    const expected = pattern.split("/");
    const actual = path.split("/");
    return expected.length === actual.length
        && expected.every((segment, index) => segment === "*" || segment === actual[index]);
}
