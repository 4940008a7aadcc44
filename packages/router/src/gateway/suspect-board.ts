import { type BodyDigest, brand } from "@gooseberrybend/core";
import {
    addCrash,
    clearSuspect,
    crashCount,
    createSuspectTable,
    type EndpointEntry,
    noteBrokenSend,
    noteCrash,
    startName,
} from "@gooseberrybend/core/dispatch";
import { checkConnection } from "./connection-check.js";
import type { GatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoreFailure, StoreTransaction } from "./metadata-store.js";
import { SHARED_PREFIX } from "./shared-prefix.js";

/** Prefix of the keys that tell of crashes: the request, then the start of the endpoint. */
export const SUSPECT_PREFIX = `${SHARED_PREFIX}suspects/`;

/** Time in ms for which a crash is remembered; a request that crashes endpoints comes again within seconds. */
const MEMORY_MS = 120_000;
/** Entries of one transaction. */
const MOST_ENTRIES = 30;
/** Requests that one line of the log names. */
const MOST_NAMED = 8;

/** What happens to suspects, as counted in the metrics. */
export const suspectEvents = ["broken", "crashed", "heard", "shared", "not-shared", "cleared"] as const;

/** One of the things that happen to suspects. */
export type SuspectEvent = typeof suspectEvents[number];

/** Shares among the routers which requests were running when endpoints crashed. */
export class SuspectBoard {
    readonly table = createSuspectTable();
    /** Checks on their way, by the start of the endpoint. */
    private readonly checks = new Map<string, Promise<void>>();

    constructor(
        private readonly store: MetadataStore,
        private readonly logs: GatewayLogs,
        private readonly count: (event: SuspectEvent) => void,
        /** Steady time in ms. */
        private readonly clock: () => number,
    ) {}

    /**
     * Notes that a send broke before it was answered, and checks whether the endpoint still accepts
     * connections: other requests may not go there soon. Resolves once the check has ended.
     */
    noteBroken(entry: EndpointEntry, body: BodyDigest, now: number): Promise<void> {
        this.count("broken");
        const start = { endpoint: entry.id, startedAt: entry.startedAt };
        noteBrokenSend(this.table, start, body, now);
        const name = startName(start);
        const running = this.checks.get(name);
        if (running !== undefined) {
            return running;
        }
        const check = this.check(entry).finally(() => this.checks.delete(name));
        this.checks.set(name, check);
        return check;
    }

    private async check(entry: EndpointEntry): Promise<void> {
        const outcome = await checkConnection(entry.address);
        this.logs.endpoints.info("Checked.", { endpoint: entry.id, startedAt: entry.startedAt, outcome });
        if (outcome === "refused") {
            this.noteUnreachable(entry, this.clock());
        }
    }

    /** Notes that an endpoint can't be reached; requests that broke there just before are suspects. */
    noteUnreachable(entry: EndpointEntry, now: number): void {
        const start = { endpoint: entry.id, startedAt: entry.startedAt };
        const bodies = noteCrash(this.table, start, now);
        if (bodies.length > 0) {
            this.count("crashed");
            this.logs.endpoints.warn("Crashed.", {
                endpoint: entry.id,
                startedAt: entry.startedAt,
                suspects: bodies.length,
                requests: bodies.slice(0, MOST_NAMED).map((body) => this.figures(body)),
            });
            void this.publish(bodies, startName(start));
        }
    }

    /** Takes in a crash that another router saw. */
    noteKey(key: string): void {
        const [body, start] = key.slice(SUSPECT_PREFIX.length).split("/");
        if (body !== undefined && start !== undefined) {
            this.count("heard");
            addCrash(this.table, brand<BodyDigest>(body), start);
            this.logs.endpoints.info("Crash heard.", { start, ...this.figures(brand<BodyDigest>(body)) });
        }
    }

    /** Notes that an endpoint ran a request to a good end, which clears it. */
    noteServed(entry: EndpointEntry, body: BodyDigest, status: number): void {
        const crashes = clearSuspect(this.table, body);
        if (crashes > 0) {
            this.count("cleared");
            this.logs.endpoints.info("Suspect cleared.", { request: body, crashes, endpoint: entry.id, status });
        }
    }

    /** Returns what is known of a request. */
    figures(body: BodyDigest): { readonly request: BodyDigest; readonly crashes: number; } {
        return { request: body, crashes: crashCount(this.table, body) };
    }

    private async publish(bodies: readonly BodyDigest[], start: string): Promise<void> {
        const lease = await this.store.grantLease(MEMORY_MS);
        if (lease.kind !== "done") {
            this.noteNotShared(start, lease);
            return;
        }
        const puts = [...new Set(bodies)].slice(0, MOST_ENTRIES)
            .map((body) => ({ key: `${SUSPECT_PREFIX}${body}/${start}`, value: "", lease: lease.value }));
        const transaction: StoreTransaction = { conditions: new Map(), puts, deletes: [] };
        const result = await this.store.transact(transaction);
        if (result.kind !== "done") {
            this.noteNotShared(start, result);
            return;
        }
        this.count("shared");
        this.logs.endpoints.info("Crash shared.", { start, revision: result.value, suspects: puts.length });
    }

    private noteNotShared(start: string, failure: StoreFailure): void {
        this.count("not-shared");
        this.logs.endpoints.warn("Crash not shared.", { start, reason: failure.kind });
    }
}
