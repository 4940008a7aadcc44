import type { EndpointId } from "../types/ids.js";
import type { EndpointEntry, PromptPartId, ServiceName } from "./types.js";

/** What an endpoint last said of its load. */
export type EndpointLoad = { readonly running: number; readonly waiting: number; readonly at: number; };

/** An endpoint as this router sees it. Times in ms. */
export type EndpointState = {
    entry: EndpointEntry;
    /** Time at which a registration that lapsed in an outage counts as gone. */
    lapsesAt: number | undefined;
    /** Requests of this router that were sent and have not ended. */
    open: number;
    /** The same at the time of the last load report. */
    openAtLoad: number;
    load: EndpointLoad | undefined;
    /** Prompt tokens of this router's requests that have no answer yet. */
    waitingPromptTokens: number;
    /** Time of the oldest send since the endpoint was last heard. */
    unansweredSince: number | undefined;
    /** Decayed counts of outcomes. */
    outcomes: number;
    failures: number;
    outcomesAt: number;
    /** Moving average of the time to an answer, relative to what was expected of it. */
    slowness: number;
    unreachableUntil: number;
    /** True once it said in an answer that it leaves, which its registration may tell late or never. */
    saidLeaving: boolean;
    /** Time until which it wants no requests of this router. */
    quietUntil: number;
    connectFailures: number;
    /** Time at which each prompt part was last sent there. */
    readonly parts: Map<PromptPartId, number>;
};

/** What the answers of a service take on average, whatever the endpoint. */
export type ServicePace = { msPerUnit: number; };

/** All endpoints that this router knows. */
export type EndpointTable = {
    readonly rows: Map<EndpointId, EndpointState>;
    readonly byService: Map<ServiceName, EndpointState[]>;
    readonly paces: Map<ServiceName, ServicePace>;
    /** Starts of endpoints that said that they leave, also while their registrations are missing. */
    readonly saidLeaving: Map<EndpointId, number>;
};

/** Creates an empty table. */
export function createEndpointTable(): EndpointTable {
    return { rows: new Map(), byService: new Map(), paces: new Map(), saidLeaving: new Map() };
}

/** Takes in a registration. Returns the row that it replaces when the endpoint has started again. */
export function putEndpoint(table: EndpointTable, entry: EndpointEntry): EndpointState | undefined {
    const known = table.rows.get(entry.id);
    const same = known !== undefined && known.entry.startedAt === entry.startedAt
        && known.entry.address === entry.address && known.entry.service === entry.service;
    if (same) {
        known.entry = entry;
        known.lapsesAt = undefined;
        return undefined;
    }
    const replaced = known === undefined ? undefined : removeEndpoint(table, entry.id);
    const row = createState(entry);
    row.saidLeaving = table.saidLeaving.get(entry.id) === entry.startedAt;
    table.rows.set(entry.id, row);
    const rows = table.byService.get(entry.service) ?? [];
    rows.push(row);
    table.byService.set(entry.service, rows);
    return replaced;
}

/** Drops an endpoint from the table. Returns its row. */
export function removeEndpoint(table: EndpointTable, id: EndpointId): EndpointState | undefined {
    const row = table.rows.get(id);
    if (row === undefined) {
        return undefined;
    }
    table.rows.delete(id);
    const rows = table.byService.get(row.entry.service) ?? [];
    table.byService.set(row.entry.service, rows.filter((other) => other !== row));
    return row;
}

function createState(entry: EndpointEntry): EndpointState {
    return {
        entry,
        lapsesAt: undefined,
        open: 0,
        openAtLoad: 0,
        load: undefined,
        waitingPromptTokens: 0,
        unansweredSince: undefined,
        outcomes: 0,
        failures: 0,
        outcomesAt: 0,
        slowness: 1,
        unreachableUntil: -Infinity,
        saidLeaving: false,
        quietUntil: -Infinity,
        connectFailures: 0,
        parts: new Map(),
    };
}
