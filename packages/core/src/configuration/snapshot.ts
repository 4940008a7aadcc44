import { err, ok, type Result } from "neverthrow";
import type { AccountId, BudgetId, EndpointId, FailureDomain } from "../types/ids.js";
import {
    type AccountDeclaration,
    type BudgetDeclaration,
    type Declaration,
    declarationSchema,
    type EndpointDeclaration,
    type FileFault,
    type OperationDeclaration,
    parseFile,
} from "./schema.js";

/** All declaration files of one version. */
export type Snapshot = {
    readonly version: number;
    /** File texts by path. */
    readonly files: Readonly<Record<string, string>>;
};

/** A compiled configuration: declarations by id. */
export type Configuration = {
    readonly version: number;
    readonly accounts: ReadonlyMap<AccountId, AccountDeclaration>;
    readonly budgets: ReadonlyMap<string, BudgetDeclaration>;
    readonly endpoints: ReadonlyMap<EndpointId, EndpointDeclaration & { readonly domain: FailureDomain; }>;
    /** Endpoint ids by kind and name of what they serve, joined by a colon. */
    readonly servers: ReadonlyMap<string, readonly EndpointId[]>;
    readonly operations: ReadonlyMap<string, OperationDeclaration>;
    /** Account ids by credential digest. */
    readonly credentials: ReadonlyMap<string, AccountId>;
};

/** Parsed files by text, so that only changed files are parsed again. */
export type DeclarationCache = Map<string, Declaration>;

/** A configuration that declares nothing. */
export const emptyConfiguration: Configuration = {
    version: 0,
    accounts: new Map(),
    budgets: new Map(),
    endpoints: new Map(),
    servers: new Map(),
    operations: new Map(),
    credentials: new Map(),
};

/** Returns the key of a budget, unique among all accounts. */
export function budgetKey(account: AccountId | string, budget: BudgetId | string): string {
    return `${account}/${budget}`;
}

/** Returns the key of an operation, unique among all services. */
export function operationKey(service: string, operation: string): string {
    return `${service}/${operation}`;
}

/** Compiles a snapshot. Returns each error with its file and position. */
export function compileSnapshot(snapshot: Snapshot, cache: DeclarationCache): Result<Configuration, FileFault[]> {
    const faults: FileFault[] = [];
    const builder = new ConfigurationBuilder(snapshot.version);
    for (const [file, text] of Object.entries(snapshot.files)) {
        const parsed = parseCached(file, text, cache);
        if (parsed.isErr()) {
            faults.push(...parsed.error);
            continue;
        }
        builder.add(file, parsed.value);
    }
    faults.push(...builder.check());
    return faults.length > 0 ? err(faults) : ok(builder.configuration);
}

function parseCached(file: string, text: string, cache: DeclarationCache): Result<Declaration, FileFault[]> {
    const cached = cache.get(text);
    if (cached !== undefined) {
        return ok(cached);
    }
    const parsed = parseFile(file, text, declarationSchema);
    if (parsed.isOk()) {
        cache.set(text, parsed.value);
    }
    return parsed;
}

class ConfigurationBuilder {
    readonly accounts = new Map<AccountId, AccountDeclaration>();
    readonly budgets = new Map<string, BudgetDeclaration>();
    readonly endpoints = new Map<EndpointId, EndpointDeclaration & { readonly domain: FailureDomain; }>();
    readonly servers = new Map<string, EndpointId[]>();
    readonly operations = new Map<string, OperationDeclaration>();
    readonly credentials = new Map<string, AccountId>();
    private readonly faults: FileFault[] = [];
    private readonly budgetFiles: { file: string; budget: BudgetDeclaration; }[] = [];

    constructor(readonly version: number) {}

    get configuration(): Configuration {
        return this;
    }

    add(file: string, declaration: Declaration): void {
        for (const account of declaration.accounts) {
            this.addUnique(file, "account", this.accounts, account.id as AccountId, account);
            this.addCredentials(file, account);
        }
        for (const budget of declaration.budgets) {
            this.addUnique(file, "budget", this.budgets, budgetKey(budget.account, budget.id), budget);
            this.budgetFiles.push({ file, budget });
        }
        for (const endpoint of declaration.endpoints) {
            const entry = { ...endpoint, domain: endpoint.domain as FailureDomain };
            this.addUnique(file, "endpoint", this.endpoints, endpoint.id as EndpointId, entry);
            this.addServers(endpoint);
        }
        for (const operation of declaration.operations) {
            this.addUnique(
                file,
                "operation",
                this.operations,
                operationKey(operation.service, operation.id),
                operation,
            );
        }
    }

    check(): FileFault[] {
        for (const { file, budget } of this.budgetFiles) {
            if (!this.accounts.has(budget.account as AccountId)) {
                this.fault(file, `budget ${budget.id}: account ${budget.account} is not declared in any file`);
            }
        }
        return this.faults;
    }

    private addUnique<Key extends string, Value>(
        file: string,
        kind: string,
        table: Map<Key, Value>,
        key: Key,
        value: Value,
    ): void {
        if (table.has(key)) {
            this.fault(file, `${kind} ${key}: declared twice`);
        }
        table.set(key, value);
    }

    private addCredentials(file: string, account: AccountDeclaration): void {
        for (const digest of account.credentialDigests) {
            const owner = this.credentials.get(digest);
            if (owner !== undefined && owner !== account.id) {
                this.fault(file, `account ${account.id}: credential is also declared for account ${owner}`);
            }
            this.credentials.set(digest, account.id as AccountId);
        }
    }

    private addServers(endpoint: EndpointDeclaration): void {
        for (const name of endpoint.serves) {
            const key = `${endpoint.kind}:${name}`;
            const servers = this.servers.get(key) ?? [];
            servers.push(endpoint.id as EndpointId);
            this.servers.set(key, servers);
        }
    }

    private fault(file: string, message: string): void {
        this.faults.push({ file, line: 1, column: 1, message });
    }
}
