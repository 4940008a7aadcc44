import { Logger } from "tslog";
import type { Settings } from "../settings.js";

/** Log levels as numbered by the logging library. */
export const logLevels = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/** A component of a router that logs under its own prefix. */
export type LogPart = "admission" | "configuration" | "endpoints" | "host" | "ledger" | "peers";

/** Loggers by part. */
export type Logs = Readonly<Record<LogPart, Logger<unknown>>>;

type Entry = {
    readonly 0?: string;
    readonly 1?: string;
    readonly 2?: Readonly<Record<string, unknown>>;
    readonly _meta: { readonly date: Date; readonly logLevelName: string; };
};

/** A log line: time, level, part and message, together with the fields that were logged. */
export type LogLine = {
    readonly at: Date;
    readonly level: string;
    readonly part: string | undefined;
    readonly message: string | undefined;
};

/** Converts an entry of the logging library to a log line. */
export function toLogLine(entry: unknown): LogLine {
    const { 0: prefix, 1: message, 2: fields, _meta: meta } = entry as Entry;
    return { at: meta.date, level: meta.logLevelName, part: prefix?.replace(/:$/, ""), message, ...fields };
}

function writeLine(entry: unknown): void {
    process.stdout.write(`${JSON.stringify(toLogLine(entry))}\n`);
}

/** Creates the loggers. The default format is text on a terminal, else JSON lines. */
export function createLogs(settings: Settings["log"]): Logs {
    const format = settings.format ?? (process.stdout.isTTY ? "pretty" : "json");
    const root = new Logger<unknown>({
        type: format,
        minLevel: logLevels[settings.level],
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
