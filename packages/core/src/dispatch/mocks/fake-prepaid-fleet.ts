import { type AccountId, brand, type Incarnation } from "../../types/ids.js";
import { lendPrepaid, takeLoan } from "../prepaid-loan.js";
import { emptyPrepaidRecord, type MarkSheet, type PrepaidRecord } from "../prepaid-record.js";
import {
    createPrepaidRow,
    defaultPrepaidPolicy,
    hasPredecessor,
    type Instant,
    noteMarkFailed,
    noteMarkSent,
    noteMarkStored,
    notePrepaidDemand,
    notePrepaidRecord,
    notePrepaidWriteFailed,
    notePrepaidWriteSent,
    ownHolding,
    planPrepaidWrite,
    type PrepaidHolder,
    type PrepaidRow,
    type PrepaidWrite,
    reservePrepaid,
    settlePrepaid,
} from "../prepaid.js";

/** What becomes of a write: it is answered, applied without an answer, applied later, or refused. */
export type Fate = "done" | "lost" | "late" | "refused";

/** A step of a schedule. */
export type Step =
    | { readonly kind: "spend"; readonly router: number; readonly tokens: number; }
    | { readonly kind: "settle"; readonly router: number; readonly share: number; }
    | { readonly kind: "write"; readonly router: number; readonly wanted: number; readonly fate: Fate; }
    | { readonly kind: "mark"; readonly router: number; readonly fate: Fate; }
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
    | { readonly kind: "top-up"; readonly tokens: number; };

type Node = {
    holder: PrepaidHolder;
    row: PrepaidRow;
    predecessor: MarkSheet | undefined;
    sheetRevision: number;
    /** Writes without an answer, sent again as they were. */
    unanswered: PrepaidWrite | undefined;
    openSheet: MarkSheet | undefined;
    open: number[];
    sequence: number;
};

type Cell<Value> = { value: Value; revision: number; };

/** Routers that spend one account's tokens over one store, on a virtual clock. */
export class FakeFleet {
    private readonly record: Cell<PrepaidRecord> = { value: emptyPrepaidRecord, revision: 0 };
    private readonly sheets: Cell<MarkSheet | undefined>[] = [];
    private readonly nodes: Node[] = [];
    private late: (() => void)[] = [];
    private now = 0;
    private revision = 0;
    private starts = 0;
    private loans = 0;
    /** Tokens that requests may have cost: delivered ones, and all of those whose router died. */
    private spent = 0;
    private readonly usedByLost = new Map<Incarnation, number>();

    constructor(private readonly account: AccountId, size: number, public total: number) {
        for (let index = 0; index < size; index++) {
            this.sheets.push({ value: undefined, revision: 0 });
            this.nodes.push(this.start(index));
        }
    }

    /** Tokens that may have been used so far. */
    used(): number {
        return this.spent + this.nodes.reduce((sum, node) => sum + node.row.reserved, 0);
    }

    /** Tokens that are granted. */
    granted(): number {
        return Object.values(this.record.value.holdings).reduce((sum, holding) => sum + holding.granted, 0);
    }

    /** Tokens that count as used by lost routers. */
    closed(): number {
        return this.record.value.closed;
    }

    /** Plays one step. */
    apply(step: Step): void {
        switch (step.kind) {
            case "spend":
                return this.spend(this.nodes[step.router]!, step.tokens);
            case "settle":
                return this.settle(this.nodes[step.router]!, step.share);
            case "write":
                return this.write(this.nodes[step.router]!, step.wanted, step.fate);
            case "mark":
                return this.mark(step.router, step.fate);
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
                return this.land();
            case "top-up":
                this.total += step.tokens;
                this.nodes.forEach((node) => node.row.total = this.total);
                return;
        }
    }

    private instant(): Instant {
        return { steady: this.now, wall: this.now };
    }

    private start(index: number): Node {
        const incarnation = brand<Incarnation>(`start-${++this.starts}`);
        const holder = { name: `router-${index}`, incarnation, startedAt: this.now };
        const row = createPrepaidRow(this.account, this.total, this.now);
        notePrepaidRecord(row, this.record.revision, this.record.value, holder);
        const sheet = this.sheets[index]!;
        return {
            holder,
            row,
            predecessor: sheet.value,
            sheetRevision: sheet.revision,
            unanswered: undefined,
            openSheet: undefined,
            open: [],
            sequence: 0,
        };
    }

    private restart(index: number): void {
        // What ran when the router died may have been delivered.
        const { row, holder } = this.nodes[index]!;
        this.spent += row.reserved;
        this.usedByLost.set(holder.incarnation, row.used + row.reserved);
        row.reserved = 0;
        this.nodes[index] = this.start(index);
    }

    private spend(node: Node, tokens: number): void {
        notePrepaidDemand(node.row, tokens, this.now);
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
            takeLoan(borrower.row, lent);
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

    private write(node: Node, wanted: number, fate: Fate): void {
        const again = node.unanswered !== undefined;
        const write = node.unanswered ?? planPrepaidWrite(
            node.row,
            node.holder,
            node.predecessor,
            wanted,
            defaultPrepaidPolicy,
            ++node.sequence,
            this.instant(),
        )!;
        if (!again) {
            notePrepaidWriteSent(node.row, write);
        }
        if (fate === "refused") {
            if (!again) {
                notePrepaidWriteFailed(node.row, write);
            }
            return;
        }
        if (fate === "late") {
            node.unanswered = write;
            this.late.push(() => this.applyRecord(write));
            return;
        }
        const applied = this.applyRecord(write);
        if (fate === "lost") {
            node.unanswered = write;
            return;
        }
        node.unanswered = undefined;
        notePrepaidRecord(node.row, this.record.revision, this.record.value, node.holder);
        const isOwn = ownHolding(this.record.value, node.holder)?.mark.sequence === write.mark.sequence;
        if (!applied && !isOwn) {
            notePrepaidWriteFailed(node.row, write);
        }
    }

    private applyRecord(write: PrepaidWrite): boolean {
        if (this.record.revision !== write.revision) {
            return false;
        }
        this.checkClosed(write.record);
        this.record.value = write.record;
        this.record.revision = ++this.revision;
        return true;
    }

    // What a lost router used must be covered by what counts as used for it.
    private checkClosed(next: PrepaidRecord): void {
        for (const [name, holding] of Object.entries(this.record.value.holdings)) {
            const lost = this.usedByLost.get(holding.incarnation);
            const gone = next.holdings[name]?.incarnation !== holding.incarnation;
            if (gone && lost !== undefined && next.closed - this.record.value.closed < lost) {
                throw new RangeError(`${name} used ${lost} and ${next.closed - this.record.value.closed} were closed`);
            }
        }
    }

    private mark(index: number, fate: Fate): void {
        const node = this.nodes[index]!;
        if (hasPredecessor(node.row.record, node.holder) || node.row.granted === 0) {
            return;
        }
        const again = node.openSheet !== undefined;
        const sheet = node.openSheet ?? {
            incarnation: node.holder.incarnation,
            sequence: ++node.sequence,
            at: this.now,
            committed: { [this.account]: node.row.used + node.row.reserved },
        };
        if (!again) {
            noteMarkSent(node.row, sheet.sequence, this.now);
        }
        const { sheetRevision } = node;
        const apply = (): boolean => {
            const cell = this.sheets[index]!;
            if (cell.revision !== sheetRevision) {
                return false;
            }
            cell.value = sheet;
            cell.revision = ++this.revision;
            return true;
        };
        if (fate === "late") {
            node.openSheet = sheet;
            this.late.push(apply);
            return;
        }
        const applied = apply();
        if (fate === "lost") {
            node.openSheet = sheet;
            return;
        }
        node.openSheet = undefined;
        node.sheetRevision = this.sheets[index]!.revision;
        const stored = this.sheets[index]!.value;
        if (applied || (stored?.incarnation === sheet.incarnation && stored.sequence === sheet.sequence)) {
            noteMarkStored(node.row, sheet.sequence);
        }
        else {
            noteMarkFailed(node.row, sheet.sequence);
        }
    }

    private land(): void {
        const late = this.late;
        this.late = [];
        late.forEach((apply) => apply());
    }
}
