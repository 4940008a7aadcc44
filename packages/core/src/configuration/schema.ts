import { type Node, type ParseError, parseTree, printParseErrorCode } from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";

const identifier = z.string().regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    "must be 1 to 63 of a-z, 0-9, dot, dash or underscore",
);
const tokens = z.number().int().min(0).max(1e12);
const domain = z.string().regex(/^[a-z0-9-]+\/[a-z0-9-]+$/, "must be written as region/domain");
const httpAddress = z.string().regex(/^https?:\/\/[0-9.]+:[0-9]+$/, "must be http://IP-NUMBER:PORT");

const account = z.strictObject({
    id: identifier.describe("Name of the client account."),
    credentialDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 in hex")).min(1)
        .describe("SHA-256 of each credential that callers of this account may show."),
    share: z.number().int().min(1).max(100).default(1).describe("Weight among the accounts when endpoints are full."),
});

const budget = z.strictObject({
    account: identifier.describe("Client account that draws on the budget."),
    id: identifier.describe("Name of the budget, unique within its account."),
    initialTokens: tokens.default(0).describe("Tokens granted once, when the budget is first published."),
});

const endpoint = z.strictObject({
    id: identifier.describe("Name of the endpoint."),
    kind: z.enum(["model", "service"]).describe("A model engine or a plain service."),
    address: httpAddress.describe("Address by IP number."),
    domain: domain.describe("Failure domain, as region/domain."),
    serves: z.array(identifier).min(1).describe("Names of the models or the service that it serves."),
    slots: z.number().int().min(1).max(10000).default(8).describe(
        "Requests it runs at once before it reports its load.",
    ),
});

const operation = z.strictObject({
    service: identifier.describe("Service that the operation belongs to."),
    id: identifier.describe("Name of the operation."),
    method: z.enum(["GET", "POST", "PUT", "DELETE", "PATCH"]).describe("HTTP method."),
    path: z.string().startsWith("/").describe("Path below the service; a segment * matches any one segment."),
    idempotent: z.boolean().default(false).describe(
        "Whether a repeated call does no harm. Unknown operations are not idempotent.",
    ),
    tokens: tokens.default(1).describe("Tokens that one call costs."),
});

/** Schema of one declaration file. */
export const declarationSchema = z.strictObject({
    accounts: z.array(account).default([]).describe("Client accounts."),
    budgets: z.array(budget).default([]).describe("Prepaid budgets."),
    endpoints: z.array(endpoint).default([]).describe("Endpoints."),
    operations: z.array(operation).default([]).describe("Operations of plain services and which are idempotent."),
});

/** The content of one declaration file. */
export type Declaration = z.infer<typeof declarationSchema>;
/** A declared client account. */
export type AccountDeclaration = z.infer<typeof account>;
/** A declared budget. */
export type BudgetDeclaration = z.infer<typeof budget>;
/** A declared endpoint. */
export type EndpointDeclaration = z.infer<typeof endpoint>;
/** A declared operation of a plain service. */
export type OperationDeclaration = z.infer<typeof operation>;

/** An error in a file, with its position. Lines and columns count from 1. */
export type FileFault = {
    readonly file: string;
    readonly line: number;
    readonly column: number;
    readonly message: string;
};

/** Formats a fault as file:line:column: message. */
export function formatFault(fault: FileFault): string {
    return `${fault.file}:${fault.line}:${fault.column}: ${fault.message}`;
}

/** Parses JSON with comments and validates it against a schema. Returns each error with its position. */
export function parseFile<Schema extends z.ZodType>(
    file: string,
    text: string,
    schema: Schema,
): Result<z.infer<Schema>, FileFault[]> {
    const errors: ParseError[] = [];
    const tree = parseTree(text, errors, { allowTrailingComma: true });
    if (tree === undefined || errors.length > 0) {
        const faults = errors.map((error) =>
            faultAt(file, text, error.offset, `invalid JSON: ${printParseErrorCode(error.error)}`)
        );
        return err(faults.length > 0 ? faults : [faultAt(file, text, 0, "invalid JSON: the file is empty")]);
    }
    const duplicates = duplicateProperties(file, text, tree);
    if (duplicates.length > 0) {
        return err(duplicates);
    }
    const parsed = schema.safeParse(valueOf(tree));
    if (parsed.success) {
        return ok(parsed.data);
    }
    return err(
        parsed.error.issues.map((issue) => faultAt(file, text, offsetOf(tree, issue.path), describeIssue(issue))),
    );
}

function describeIssue(issue: z.core.$ZodIssue): string {
    const place = issue.path.length === 0 ? "the file" : issue.path.join(".");
    return `${place}: ${issue.message}`;
}

function offsetOf(tree: Node, path: readonly PropertyKey[]): number {
    let node: Node = tree;
    for (const step of path) {
        const child = childAt(node, step);
        if (child === undefined) {
            return node.offset;
        }
        node = child;
    }
    return node.offset;
}

function childAt(node: Node, step: PropertyKey): Node | undefined {
    if (node.type === "array") {
        return node.children?.[Number(step)];
    }
    const property = node.children?.find((child) => child.children?.[0]?.value === step);
    return property?.children?.[1];
}

function duplicateProperties(file: string, text: string, node: Node): FileFault[] {
    const faults: FileFault[] = [];
    const names = new Set<string>();
    for (const child of node.children ?? []) {
        const name = child.type === "property" ? child.children?.[0] : undefined;
        if (name !== undefined && names.has(name.value as string)) {
            faults.push(
                faultAt(file, text, name.offset, `${String(name.value)}: duplicate property name in an object`),
            );
        }
        if (name !== undefined) {
            names.add(name.value as string);
        }
        faults.push(...duplicateProperties(file, text, child));
    }
    return faults;
}

function valueOf(node: Node): unknown {
    if (node.type === "array") {
        return (node.children ?? []).map(valueOf);
    }
    if (node.type === "object") {
        const pairs = (node.children ?? []).map((
            property,
        ) => [property.children![0]!.value, valueOf(property.children![1]!)]);
        return Object.fromEntries(pairs);
    }
    return node.value;
}

function faultAt(file: string, text: string, offset: number, message: string): FileFault {
    const before = text.slice(0, offset).split("\n");
    return { file, line: before.length, column: before[before.length - 1]!.length + 1, message };
}
