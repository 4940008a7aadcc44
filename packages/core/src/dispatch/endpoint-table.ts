import type { EndpointId, FailureDomain } from "../types/ids.js";
import { createEndpointLimits, type EndpointLimits } from "./endpoint-limits.js";
import type { EndpointEntry, PromptPartId, ServiceName } from "./types.js";

/** Requests at an endpoint by its last load report. */
export type EndpointLoad = { readonly running: number; readonly waiting: number; readonly at: number; };

/** State of an endpoint's machine by its last load report with a pace, which was read at a time in ms. */
export type MachineLoad = {
    readonly slots: number | undefined;
    /** Time that work takes, in percent of the usual time. */
    readonly pacePercent: number;
    readonly at: number;
};

/** This router's view of an endpoint. Times in ms. */
export type EndpointState = {
    entry: EndpointEntry;
    /** Time at which a registration that expired during an outage is treated as removed. */
    expiresAt: number | undefined;
    /** In-flight requests of this router. */
    open: number;
    /** In-flight requests of this router at the time of the last load report. */
    openAtLoad: number;
    load: EndpointLoad | undefined;
    /** Undefined for endpoints that report no pace. */
    machine: MachineLoad | undefined;
    /** Prompt tokens of this router's requests that have no response yet. */
    waitingPromptTokens: number;
    /** Time of the oldest send since bytes last arrived from the endpoint. */
    unansweredSince: number | undefined;
    /** Counts of all outcomes and of failures, decayed over time. */
    outcomes: number;
    failures: number;
    outcomesAt: number;
    /** Moving average of the response time relative to the expected one. */
    slowness: number;
    unreachableUntil: number;
    /** True once a response announced that it leaves; its registration may show this late or never. */
    announcedLeaving: boolean;
    /** End of the back-off that it requested from this router. */
    backoffUntil: number;
    connectFailures: number;
    /** Time at which each prompt part was last sent there. */
    readonly parts: Map<PromptPartId, number>;
};

/** Average response time per unit of work over all endpoints of a service. */
export type ServicePace = { msPerUnit: number; };

/** An evacuation of a failure domain. Times in ms. */
export type Evacuation = {
    /** Time at which this router learned of it. */
    readonly since: number;
    /** Time at which it ends unless it is written again, as it is missing in a restored store. */
    endsAt: number | undefined;
};

/** The evacuations in force, and the time in ms until which a restored store may still lack some. */
export type Evacuations = { readonly domains: Map<FailureDomain, Evacuation>; incompleteUntil: number; };

/** All endpoints known to this router. */
export type EndpointTable = {
    readonly rows: Map<EndpointId, EndpointState>;
    readonly byService: Map<ServiceName, EndpointState[]>;
    readonly paces: Map<ServiceName, ServicePace>;
    /** Start times of endpoints that announced that they leave; kept while their registrations are missing. */
    readonly leavingStarts: Map<EndpointId, number>;
    readonly limits: EndpointLimits;
    /** Evacuations of failure domains by the operator. */
    readonly evacuations: Evacuations;
};

/** Creates an empty table. */
export function createEndpointTable(): EndpointTable {
    return {
        rows: new Map(),
        byService: new Map(),
        paces: new Map(),
        leavingStarts: new Map(),
        limits: createEndpointLimits(),
        evacuations: { domains: new Map(), incompleteUntil: -Infinity },
    };
}

/** Applies a registration. Returns the row that it replaces if the endpoint restarted or changed address or service. */
export function putEndpoint(table: EndpointTable, entry: EndpointEntry): EndpointState | undefined {
    const existing = table.rows.get(entry.id);
    const sameStart = existing !== undefined && existing.entry.startedAt === entry.startedAt
        && existing.entry.address === entry.address && existing.entry.service === entry.service;
    if (sameStart) {
        existing.entry = entry;
        existing.expiresAt = undefined;
        return undefined;
    }
    const replaced = existing === undefined ? undefined : removeEndpoint(table, entry.id);
    const row = createState(entry);
    row.announcedLeaving = table.leavingStarts.get(entry.id) === entry.startedAt;
    table.rows.set(entry.id, row);
    const rows = table.byService.get(entry.service) ?? [];
    rows.push(row);
    table.byService.set(entry.service, rows);
    return replaced;
}

/** Removes an endpoint from the table. Returns its row. */
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
        expiresAt: undefined,
        open: 0,
        openAtLoad: 0,
        load: undefined,
        machine: undefined,
        waitingPromptTokens: 0,
        unansweredSince: undefined,
        outcomes: 0,
        failures: 0,
        outcomesAt: 0,
        slowness: 1,
        unreachableUntil: -Infinity,
        announcedLeaving: false,
        backoffUntil: -Infinity,
        connectFailures: 0,
        parts: new Map(),
    };
}
