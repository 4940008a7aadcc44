import { EtcdStore, type KeyValueStore } from "@gooseberrybend/router";
import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import type { CommandFailure } from "./failure.js";
import { listRegisteredRouters, OperatorClient } from "./operations/routers.js";

/** Options shared by the commands, in the format of util.parseArgs. */
export const sharedOptions = {
    "platform": { type: "string" },
    "routers": { type: "string" },
    "operator-key-file": { type: "string" },
    "json": { type: "boolean", default: false },
    "help": { type: "boolean", short: "h", default: false },
} as const;

/** Values of the shared options. */
export type SharedValues = {
    readonly "platform"?: string | undefined;
    readonly "routers"?: string | undefined;
    readonly "operator-key-file"?: string | undefined;
    readonly "json"?: boolean | undefined;
};

const STORE_TIMEOUT_MS = 3_000;

/** Help text of the shared options. */
export const sharedHelp = `Shared options:
  --platform URL             key-value service (or GOOSEBERRYBEND_PLATFORM)
  --routers URL,URL          routers to call instead of the registered ones
  --operator-key-file FILE   file with the operator key (or the key in GOOSEBERRYBEND_OPERATOR_KEY)
  --json                     print JSON
  -h, --help                 print this help`;

/** Creates a client of the key-value service given by the options or the environment. */
export function openStore(values: SharedValues): Result<KeyValueStore, CommandFailure> {
    const address = values.platform ?? process.env["GOOSEBERRYBEND_PLATFORM"];
    if (address === undefined) {
        return err({
            kind: "usage",
            message: "No key-value service given. Add --platform URL or set GOOSEBERRYBEND_PLATFORM.",
        });
    }
    return ok(new EtcdStore(address, STORE_TIMEOUT_MS));
}

/** Returns the addresses of the routers to call: those given by the options, else the registered ones. */
export async function resolveRouters(values: SharedValues): Promise<Result<string[], CommandFailure>> {
    if (values.routers !== undefined) {
        return ok(values.routers.split(","));
    }
    const store = openStore(values);
    if (store.isErr()) {
        return err(store.error);
    }
    const registered = await listRegisteredRouters(store.value);
    if (registered === undefined) {
        return err({
            kind: "unavailable",
            message: "The key-value service does not answer. Give the routers with --routers.",
        });
    }
    return ok(registered);
}

/** Creates a client for the operator interface of routers, with the operator key. */
export function createOperatorClient(values: SharedValues): OperatorClient {
    const file = values["operator-key-file"];
    const key = file === undefined ? process.env["GOOSEBERRYBEND_OPERATOR_KEY"] : readFileSync(file, "utf8").trim();
    return new OperatorClient(key);
}
