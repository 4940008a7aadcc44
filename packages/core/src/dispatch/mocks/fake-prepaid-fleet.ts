import { type AccountId, brand, type Incarnation } from "../../types/ids.js";
import { applyLoan, lendPrepaid } from "../prepaid-loan.js";
import {
    type CheckpointSet,
    emptyPrepaidRecord,
    type PrepaidHolder,
    type PrepaidRecord,
    type RampVersion,
    type StoredCheckpoints,
} from "../prepaid-record.js";
import { type EraStanding, settledStanding } from "../prepaid-restatement.js";
import {
    applyPrepaidRecord,
    checkpointStep,
    createPrepaidRow,
    defaultPrepaidPolicy,
    type Instant,
    ownHolding,
    planPrepaidWrite,
    type PrepaidRow,
    type PrepaidWrite,
    recordCheckpointFailed,
    recordCheckpointSent,
    recordCheckpointStored,
    recordPrepaidDemand,
    recordPrepaidWriteFailed,
    recordPrepaidWriteSent,
    reservePrepaid,
    settlePrepaid,
} from "../prepaid.js";
import { countOf, eraOf, revisionOf } from "../store-revision.js";

/** Outcome of a write: acknowledged, applied without a response, applied later, or refused. */
export type WriteOutcome = "done" | "lost" | "late" | "refused";

/** A step of a schedule. */
export type Step =
    | { readonly kind: "spend"; readonly router: number; readonly tokens: number; }
    | { readonly kind: "settle"; readonly router: number; readonly share: number; }
    | { readonly kind: "write"; readonly router: number; readonly wanted: number; readonly fate: WriteOutcome; }
    | { readonly kind: "mark"; readonly router: number; readonly fate: WriteOutcome; }
    | { readonly kind: "pass"; readonly time: number; }
    | {
        readonly kind: "lend";
        readonly router: number;
        readonly to: number;
        readonly tokens: number;
        readonly arrives: boolean;
    }
    | { readonly kind: "restart"; readonly router: number; }
    | { readonly kind: "restart-all"; }
    | { readonly kind: "land-late"; }
    /** The store comes back from a copy, `back` writes old, while some routers restart or are cut off from it. */
    | {
        readonly kind: "restore";
        readonly back: number;
        readonly restarted: readonly number[];
        readonly cut: readonly number[];
    }
    | { readonly kind: "top-up"; readonly tokens: number; }
    | { readonly kind: "ramp"; readonly ramp: RampVersion; readonly stepMs?: number | undefined; };

type Node = {
    holder: PrepaidHolder;
    row: PrepaidRow;
    earlierCheckpoints: readonly CheckpointSet[];
    checkpointSetRevision: number;
    /** Write without a response; sent again unchanged. */
    unansweredWrite: PrepaidWrite | undefined;
    unansweredCheckpointSet: StoredCheckpoints | undefined;
    open: number[];
    sequence: number;
    standing: EraStanding;
};

type Cell<Value> = { value: Value; revision: number; };
type Copy = {
    readonly record: Cell<PrepaidRecord>;
    readonly checkpointSets: readonly Cell<StoredCheckpoints | undefined>[];
};

/** The router that reads all records. */
const WATCHER = 0;

/** Simulates routers that spend one account's tokens through one store, on a virtual clock. */
export class FakePrepaidFleet {
    private record: Cell<PrepaidRecord> = { value: emptyPrepaidRecord, revision: 0 };
    private checkpointSets: Cell<StoredCheckpoints | undefined>[] = [];
    /** States of the store after each write of the record. */
    private readonly copies: Copy[] = [];
    private readonly nodes: Node[] = [];
    private lateWrites: (() => void)[] = [];
    private policy = defaultPrepaidPolicy;
    private now = 0;
    private revision = 0;
    private starts = 0;
    private loans = 0;
    /** Tokens that requests may have used: delivered ones, and all reservations of crashed routers. */
    private spent = 0;
    private readonly usedByCrashed = new Map<Incarnation, number>();

    constructor(
        private readonly account: AccountId,
        size: number,
        public total: number,
        /** 0 for a store without eras. */
        private era = 0,
    ) {
        for (let index = 0; index < size; index++) {
            this.checkpointSets.push({ value: undefined, revision: 0 });
            this.nodes.push(this.start(index));
        }
        this.keepCopy();
    }

    private keepCopy(): void {
        this.copies.push({
            record: { ...this.record },
            checkpointSets: this.checkpointSets.map((cell) => ({ ...cell })),
        });
    }

    private nextRevision(): number {
        return revisionOf(this.era, ++this.revision);
    }

    /** Tokens that may have been used so far. */
    used(): number {
        return this.spent + this.nodes.reduce((sum, node) => sum + node.row.reserved, 0);
    }

    /** Tokens granted to all holders. */
    granted(): number {
        return Object.values(this.record.value.holdings).reduce((sum, holding) => sum + holding.granted, 0);
    }

    /** Tokens counted as used by crashed routers. */
    closed(): number {
        return this.record.value.closed;
    }

    /** Applies one step. */
    apply(step: Step): void {
        switch (step.kind) {
            case "spend":
                return this.spend(this.nodes[step.router]!, step.tokens);
            case "settle":
                return this.settle(this.nodes[step.router]!, step.share);
            case "write":
                return this.write(this.nodes[step.router]!, step.wanted, step.fate);
            case "mark":
                return this.storeCheckpoints(step.router, step.fate);
            case "pass":
                this.now += step.time;
                return;
            case "lend":
                return this.lend(this.nodes[step.router]!, this.nodes[step.to]!, step.tokens, step.arrives);
            case "restart":
                return this.restart(step.router);
            case "restart-all":
                return this.nodes.forEach((unusedNode, index) => this.restart(index));
            case "land-late":
                return this.applyLateWrites();
            case "restore":
                return this.restore(step.back, step.restarted, step.cut);
            case "ramp":
                this.policy = { ...this.policy, ramp: step.ramp, stepMs: step.stepMs };
                return;
            case "top-up":
                this.total += step.tokens;
                this.nodes.forEach((node) => node.row.total = this.total);
                return;
        }
    }

    private instant(): Instant {
        return { monotonic: this.now, wall: this.now };
    }

    private start(index: number): Node {
        const incarnation = brand<Incarnation>(`start-${++this.starts}`);
        const holder = { name: `router-${index}`, incarnation, startedAt: this.now };
        const row = createPrepaidRow(this.account, this.total, this.now);
        applyPrepaidRecord(row, this.record.revision, this.record.value, holder, this.era);
        const checkpointSet = this.checkpointSets[index]!;
        return {
            holder,
            row,
            earlierCheckpoints: earlierOf(checkpointSet.value),
            checkpointSetRevision: checkpointSet.revision,
            unansweredWrite: undefined,
            unansweredCheckpointSet: undefined,
            open: [],
            sequence: 0,
            standing: settledStanding,
        };
    }

    private restore(back: number, restarted: readonly number[], cut: readonly number[]): void {
        const copy = this.copies.at(-1 - Math.min(back, this.copies.length - 1))!;
        this.copies.length = this.copies.indexOf(copy) + 1;
        this.era++;
        const cell = <Value>({ value, revision }: Cell<Value>): Cell<Value> => ({
            value,
            revision: revisionOf(this.era, countOf(revision)),
        });
        this.record = cell(copy.record);
        this.checkpointSets = copy.checkpointSets.map(cell);
        this.revision = Math.max(
            countOf(this.record.revision),
            ...this.checkpointSets.map(({ revision }) => countOf(revision)),
        );
        restarted.forEach((index) => this.restart(index));
        const inTouch = this.nodes.filter((unusedNode, index) => !cut.includes(index));
        for (const node of inTouch) {
            const isWitness = node === this.nodes[WATCHER] && !restarted.includes(WATCHER);
            node.standing = { isWitness, isSettled: false };
            applyPrepaidRecord(node.row, this.record.revision, this.record.value, node.holder, this.era);
        }
        inTouch.forEach((node) => this.restate(node));
        this.copies.splice(0, this.copies.length - 1);
        for (const node of this.nodes) {
            node.standing = { ...node.standing, isSettled: true };
        }
    }

    private restate(node: Node): void {
        for (let attempt = 0; attempt < 2; attempt++) {
            this.write(node, 0, "done");
        }
    }

    private restart(index: number): void {
        // Requests that were running when the router crashed may have been delivered.
        const { row, holder } = this.nodes[index]!;
        this.spent += row.reserved;
        this.usedByCrashed.set(holder.incarnation, row.used + row.reserved);
        row.reserved = 0;
        this.nodes[index] = this.start(index);
    }

    private spend(node: Node, tokens: number): void {
        recordPrepaidDemand(node.row, tokens, this.now);
        if (reservePrepaid(node.row, tokens, this.now) === "reserved") {
            node.open.push(tokens);
        }
    }

    private lend(lender: Node, borrower: Node, tokens: number, arrives: boolean): void {
        const request = {
            id: `loan-${++this.loans}`,
            borrower: borrower.holder.incarnation,
            account: this.account,
            tokens,
        };
        const lent = lendPrepaid(lender.row, new Map(), request, this.now);
        if (arrives) {
            applyLoan(borrower.row, lent);
        }
    }

    private settle(node: Node, share: number): void {
        const reserved = node.open.shift();
        if (reserved !== undefined) {
            const used = Math.ceil(reserved * share / 100);
            settlePrepaid(node.row, reserved, used);
            this.spent += used;
        }
    }

    private write(node: Node, wanted: number, fate: WriteOutcome): void {
        const again = node.unansweredWrite !== undefined;
        const write = node.unansweredWrite ?? planPrepaidWrite(
            node.row,
            node.holder,
            node.earlierCheckpoints,
            wanted,
            this.policy,
            ++node.sequence,
            this.instant(),
            node.standing,
        )!;
        if (!again) {
            recordPrepaidWriteSent(node.row, write);
        }
        if (fate === "refused") {
            if (!again) {
                recordPrepaidWriteFailed(node.row, write);
            }
            return;
        }
        if (fate !== "done" && eraOf(write.revision) !== this.era && write.revision !== 0) {
            return;
        }
        if (fate === "late") {
            node.unansweredWrite = write;
            this.lateWrites.push(() => this.applyRecord(write));
            return;
        }
        const applied = this.applyRecord(write);
        if (fate === "lost") {
            node.unansweredWrite = write;
            return;
        }
        node.unansweredWrite = undefined;
        applyPrepaidRecord(node.row, this.record.revision, this.record.value, node.holder, this.era);
        const isOwn = ownHolding(this.record.value, node.holder)?.mark.sequence === write.mark.sequence;
        if (!applied && !isOwn) {
            recordPrepaidWriteFailed(node.row, write);
        }
    }

    private applyRecord(write: PrepaidWrite): boolean {
        if (this.record.revision !== write.revision) {
            return false;
        }
        this.checkClosed(write.record);
        this.record = { value: write.record, revision: this.nextRevision() };
        this.keepCopy();
        const watcher = this.nodes[WATCHER]!;
        applyPrepaidRecord(watcher.row, this.record.revision, this.record.value, watcher.holder, this.era);
        return true;
    }

    // The tokens that a crashed router used must not exceed those counted as used for it. A record from a copy may
    // lack them; they are then counted under other names.
    private checkClosed(next: PrepaidRecord): void {
        if (this.era > 0) {
            return;
        }
        for (const [name, holding] of Object.entries(this.record.value.holdings)) {
            const lost = this.usedByCrashed.get(holding.incarnation);
            const replaced = Object.values(next.holdings).every(({ incarnation }) =>
                incarnation !== holding.incarnation
            );
            if (replaced && lost !== undefined && next.closed - this.record.value.closed < lost) {
                throw new RangeError(
                    `${name} used ${lost} tokens, but only ${
                        next.closed - this.record.value.closed
                    } were counted as used`,
                );
            }
        }
    }

    private storeCheckpoints(index: number, fate: WriteOutcome): void {
        const node = this.nodes[index]!;
        if (node.row.granted === 0) {
            return;
        }
        const again = node.unansweredCheckpointSet !== undefined;
        const step = checkpointStep(node.row, this.policy, node.holder, this.now);
        const checkpointSet = node.unansweredCheckpointSet ?? {
            incarnation: node.holder.incarnation,
            sequence: ++node.sequence,
            at: this.now,
            ramp: this.policy.ramp,
            committed: { [this.account]: node.row.used + node.row.reserved },
            steps: step === undefined ? undefined : { ms: step.ms, tokens: { [this.account]: step.tokens } },
            earlier: node.earlierCheckpoints.filter(({ incarnation }) =>
                node.row.record.holdings[node.holder.name]?.incarnation === incarnation
            ),
        };
        if (!again) {
            recordCheckpointSent(
                node.row,
                checkpointSet.sequence,
                checkpointSet.committed[this.account]!,
                checkpointSet.ramp!,
                this.now,
                step,
            );
        }
        const { checkpointSetRevision } = node;
        const apply = (): boolean => {
            const cell = this.checkpointSets[index]!;
            if (cell.revision !== checkpointSetRevision) {
                return false;
            }
            cell.value = checkpointSet;
            cell.revision = this.nextRevision();
            return true;
        };
        if (fate === "late") {
            node.unansweredCheckpointSet = checkpointSet;
            this.lateWrites.push(apply);
            return;
        }
        const applied = apply();
        if (fate === "lost") {
            node.unansweredCheckpointSet = checkpointSet;
            return;
        }
        node.unansweredCheckpointSet = undefined;
        node.checkpointSetRevision = this.checkpointSets[index]!.revision;
        const stored = this.checkpointSets[index]!.value;
        if (
            applied || (stored?.incarnation === checkpointSet.incarnation && stored.sequence === checkpointSet.sequence)
        ) {
            recordCheckpointStored(node.row, checkpointSet.sequence);
        }
        else {
            if (stored !== undefined && stored.incarnation !== checkpointSet.incarnation) {
                node.earlierCheckpoints = earlierOf(stored);
            }
            recordCheckpointFailed(node.row, checkpointSet.sequence);
        }
    }

    private applyLateWrites(): void {
        const writes = this.lateWrites;
        this.lateWrites = [];
        writes.forEach((apply) => apply());
    }
}

function earlierOf(stored: StoredCheckpoints | undefined): CheckpointSet[] {
    return stored === undefined ? [] : [stored, ...stored.earlier ?? []];
}
