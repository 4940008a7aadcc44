import type { EndpointState } from "./endpoint-table.js";

/** Figures of an endpoint's load report; undefined if missing or invalid. */
export type LoadReport = {
    readonly running: number | undefined;
    readonly waiting: number | undefined;
    /** Requests that the endpoint can run at once. */
    readonly slots: number | undefined;
    /** Time that work currently takes on the endpoint's machine, in percent of the usual time. */
    readonly pacePercent: number | undefined;
};

/** Time in ms in which a reported pace loses half of its weight, as it changes many times a second. */
const PACE_HALF_LIFE_MS = 100;
/** Age in ms from which a reported pace has no weight; about 0.1 % of it would be left. */
const MAX_PACE_AGE_MS = 10 * PACE_HALF_LIFE_MS;
const USUAL_PACE_PERCENT = 100;
/** Bounds of the pace relative to the usual one, so that a single odd report does not dominate. */
const PACE_FACTOR_RANGE = [0.25, 8] as const;

/** Records a load report. A figure that is missing or invalid leaves the last valid one in force. */
export function recordLoadReport(row: EndpointState, report: LoadReport, now: number): void {
    const running = report.running ?? row.load?.running;
    const waiting = report.waiting ?? row.load?.waiting;
    const hasCount = report.running !== undefined || report.waiting !== undefined;
    if (hasCount && running !== undefined && waiting !== undefined) {
        row.load = { running, waiting, at: now };
        row.openAtLoad = row.open;
    }
    const slots = positive(report.slots) ?? row.machine?.slots;
    const pacePercent = positive(report.pacePercent);
    if (pacePercent !== undefined) {
        row.machine = { slots, pacePercent, at: now };
    }
    else if (row.machine !== undefined) {
        row.machine = { ...row.machine, slots };
    }
}

function positive(figure: number | undefined): number | undefined {
    return figure !== undefined && figure > 0 ? figure : undefined;
}

/** Returns the expected time of work at an endpoint relative to the usual one; near 1 once its report is old. */
export function paceFactor({ machine }: EndpointState, now: number): number {
    if (machine === undefined || now - machine.at > MAX_PACE_AGE_MS) {
        return 1;
    }
    const [lowest, highest] = PACE_FACTOR_RANGE;
    const reported = Math.min(highest, Math.max(lowest, machine.pacePercent / USUAL_PACE_PERCENT));
    return 1 + (reported - 1) * 0.5 ** ((now - machine.at) / PACE_HALF_LIFE_MS);
}

/** Returns the slots that an endpoint reports, or else the given number. They count only if it also reports its pace. */
export function slotsOf({ machine }: EndpointState, otherwise: number): number {
    return machine?.slots ?? otherwise;
}

/** Returns the estimated requests at an endpoint, from its last load report and this router's sends since then. */
export function busyRequests(row: EndpointState): number {
    if (row.load === undefined) {
        return row.open;
    }
    const reported = row.load.running + row.load.waiting;
    return Math.max(row.open, reported + row.open - row.openAtLoad);
}
