import { brand, type FailureDomain } from "@gooseberrybend/core";
import {
    endMissing,
    type EndpointTable,
    type EvacuationChange,
    recordEvacuation,
    recordWithdrawal,
    replaceEvacuations,
} from "@gooseberrybend/core/dispatch";
import type { GatewayLogs } from "./log-sink.js";
import type { StoreChange, StoredItem } from "./metadata-store.js";

/** Applies the operator's evacuations of failure domains in the store to the table of endpoints. Times in ms. */
export class DomainEvacuations {
    constructor(
        /** Prefix of the keys, followed by the failure domain. Values are not read. */
        private readonly prefix: string,
        private readonly table: EndpointTable,
        private readonly logs: GatewayLogs,
        private readonly onCount: (count: number) => void,
    ) {}

    /** Applies all evacuations of the store, which may have come back from an older copy. */
    replace(items: readonly StoredItem[], isRestored: boolean, now: number): void {
        const listed = items.map(({ key }) => this.domainOf(key));
        this.report(replaceEvacuations(this.table, listed, isRestored, now));
        for (const [domain, { endsAt }] of this.table.evacuations.domains) {
            if (endsAt !== undefined) {
                this.logs.endpoints.warn("Evacuation missing in a restored store; kept, as it may be written again.", {
                    domain,
                    keptMs: Math.round(endsAt - now),
                });
            }
        }
    }

    /** Applies a change of one key; `madeAfter` is a time before which it was not made. */
    apply({ key, item, revision }: StoreChange, madeAfter: number, now: number): void {
        const record = item === undefined ? recordWithdrawal : recordEvacuation;
        const change = record(this.table, this.domainOf(key), now);
        // At the start, all changes are of an unknown age.
        const newsAgeMs = Number.isFinite(madeAfter) ? Math.round(now - madeAfter) : undefined;
        this.report(change === undefined ? [] : [change], { revision, newsAgeMs });
    }

    /** Ends evacuations that a restored store still lacks; to be called several times a second. */
    update(now: number): void {
        this.report(endMissing(this.table, now));
    }

    private report(changes: readonly EvacuationChange[], source: object = {}): void {
        for (const { kind, ...figures } of changes) {
            const message = kind === "began" ? "Evacuation of a failure domain began." : "Evacuation ended.";
            this.logs.endpoints.info(message, { ...figures, ageMs: Math.round(figures.ageMs), ...source });
            if (kind === "began" && figures.endpoints === 0) {
                this.logs.endpoints.warn("Evacuated failure domain has no known endpoints.", {
                    domain: figures.domain,
                });
            }
        }
        if (changes.length > 0) {
            this.onCount(this.table.evacuations.domains.size);
        }
    }

    private domainOf(key: string): FailureDomain {
        return brand<FailureDomain>(key.slice(this.prefix.length));
    }
}
