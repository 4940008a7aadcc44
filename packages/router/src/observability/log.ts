import { Logger } from "tslog";
import type { Settings } from "../settings.js";

const levels = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/** A part of a router that logs under its own prefix. */
export type LogPart = "admission" | "configuration" | "endpoints" | "host" | "ledger" | "peers";

/** Loggers by part. */
export type Logs = Readonly<Record<LogPart, Logger<unknown>>>;

type Entry = {
    readonly 0?: string;
    readonly 1?: string;
    readonly 2?: Readonly<Record<string, unknown>>;
    readonly _meta: { readonly date: Date; readonly logLevelName: string; };
};

// A line has its time, level, part and sentence, and the fields that were logged with it.
function writeLine(entry: unknown): void {
    const { 0: prefix, 1: message, 2: fields, _meta: meta } = entry as Entry;
    const line = { at: meta.date, level: meta.logLevelName, part: prefix?.replace(/:$/, ""), message, ...fields };
    process.stdout.write(`${JSON.stringify(line)}\n`);
}

/** Creates the loggers: JSON lines, or readable text on a terminal. */
export function createLogs(settings: Settings["log"]): Logs {
    const format = settings.format ?? (process.stdout.isTTY ? "pretty" : "json");
    const root = new Logger<unknown>({
        type: format,
        minLevel: levels[settings.level],
        hideLogPositionForProduction: true,
        overwrite: { transportJSON: writeLine },
    });
    const part = (name: LogPart): Logger<unknown> => root.getSubLogger({ prefix: [`${name}:`] });
    return {
        admission: part("admission"),
        configuration: part("configuration"),
        endpoints: part("endpoints"),
        host: part("host"),
        ledger: part("ledger"),
        peers: part("peers"),
    };
}
