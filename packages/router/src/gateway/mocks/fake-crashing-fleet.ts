import {
    type BodyDigest,
    brand,
    createRandom,
    type EndpointId,
    type FailureDomain,
    type Incarnation,
    type Random,
    randomBelow,
    randomElement,
    randomFraction,
} from "@gooseberrybend/core";
import type {
    Crash,
    EndpointEntry,
    PromptPartId,
    RequestFeatures,
    ServiceName,
    TrackedSend,
} from "@gooseberrybend/core/dispatch";
import { CrashReports } from "../crash-reports.js";
import { createGatewayLogs } from "../log-sink.js";
import type { MetadataStore, StoredItem } from "../metadata-store.js";
import { PoisonRequestTracker } from "../poison-request-tracker.js";
import { FakeMetadataStore } from "./fake-metadata-store.js";

/** Crashes after which requests with a part that crashes endpoints are to be held back. */
const CRASH_LIMIT = 5;
/** Steps of the clock in ms. */
const STEP_MS = 5;
/** Ranges in ms: until a stored report reaches a router, and until a call of another router does. */
const STORE_DELAY_MS = [40, 900] as const;
const PEER_DELAY_MS = [3, 40] as const;
/** Routers that are told of a crash directly. */
const DIRECT_RECIPIENTS = 8;
/** Ranges in ms: of the time until an endpoint begins to respond, of a stream, and of the time until it crashes on one. */
const PREFILL_MS = [40, 500] as const;
const STREAM_MS = [60, 4_000] as const;
const CRASH_MS = [20, 120] as const;
/** Time in ms between two reports of bytes of a stream. */
const BYTES_INTERVAL_MS = 500;
const ENDPOINT_ENTRY = {
    startedAt: 1,
    service: brand<ServiceName>("engines"),
    address: "127.0.0.1:1",
    domain: brand<FailureDomain>("a"),
    slots: 64,
    leaving: false,
};
const SYSTEM_PARTS = ["system-1", "system-2", "system-3"].map((name) => brand<PromptPartId>(name));
const POISON_PART = brand<PromptPartId>("poison");

type FakeRouter = { readonly name: string; readonly tracker: PoisonRequestTracker; readonly reports: CrashReports; };
type RunningSend = { readonly router: FakeRouter; readonly send: TrackedSend; };
type FakeEngine = { entry: EndpointEntry; isUp: boolean; starts: number; readonly running: Set<RunningSend>; };

/** Parameters of a fleet. */
export type FakeCrashingFleetOptions = {
    readonly routers: number;
    readonly endpoints: number;
    readonly soundPerSecond: number;
    readonly poisonPerSecond: number;
    /** Number of second parts that sound requests have, in turn; many of them mean that each is rare. */
    readonly sessions: number;
    /** Time in ms until a crashed endpoint is back. */
    readonly downMs: number;
    readonly seed: number;
};

/** Routers before endpoints that crash on a prompt part, on a virtual clock and without a network. */
export class FakeCrashingFleet {
    /** Times in ms of requests with the poison part that reached endpoints, and of crashes on it. */
    readonly poisonArrivals: number[] = [];
    readonly poisonCrashes: number[] = [];
    /** Sound requests, and whether they were sent to an endpoint at once. */
    readonly sound: { readonly at: number; readonly began: boolean; }[] = [];
    readonly store = new FakeMetadataStore();
    private readonly logs = createGatewayLogs({ level: "error" });
    private readonly routers: FakeRouter[];
    private readonly engines: FakeEngine[];
    private readonly random: Random;
    private requestCount = 0;
    private isPoisonSent = true;
    /** Events to come, by the step in which they are due. */
    private readonly events = new Map<number, (() => unknown)[]>();
    private readonly delivered = new Set<string>();

    constructor(private readonly options: FakeCrashingFleetOptions) {
        this.random = createRandom(options.seed);
        this.routers = Array.from({ length: options.routers }, (unused, index) => this.createRouter(`router-${index}`));
        this.engines = Array.from({ length: options.endpoints }, (unused, index) => ({
            entry: { ...ENDPOINT_ENTRY, id: brand<EndpointId>(`engine-${index}`) },
            isUp: true,
            starts: 1,
            running: new Set(),
        }));
        this.sendEvery(1_000 / options.soundPerSecond, () => this.sendSound());
        this.sendEvery(1_000 / options.poisonPerSecond, () => this.sendPoison());
        this.schedule(20, 20, () => this.forwardReports());
    }

    /** Runs for a time in ms; `advance` moves the clock and the timers of the routers. */
    async run(durationMs: number, advance: (stepMs: number) => Promise<unknown>): Promise<void> {
        const end = Date.now() + durationMs;
        while (Date.now() < end) {
            await advance(STEP_MS);
            const step = Math.floor(Date.now() / STEP_MS);
            this.events.get(step)?.forEach((event) => event());
            this.events.delete(step);
        }
    }

    /** Ends endpoints all at once, as when a rack or their whole site loses power. */
    endTogether(count: number): void {
        this.engines.slice(0, count).filter(({ isUp }) => isUp).forEach((engine) => this.crash(engine));
    }

    /** Stops sending requests with the poison part. */
    stopPoison(): void {
        this.isPoisonSent = false;
    }

    /** Requests with the poison part that reached endpoints later than a time in ms after the fifth crash. */
    lateArrivals(windowMs: number): number {
        const fifthAt = this.poisonCrashes[CRASH_LIMIT - 1] ?? Infinity;
        return this.poisonArrivals.filter((at) => at > fifthAt + windowMs).length;
    }

    /** Share of sound requests from a time in ms on that were sent at once; refusals count only if endpoints were up. */
    soundShare(from: number): number {
        const sent = this.sound.filter(({ at }) => at >= from);
        return sent.filter(({ began }) => began).length / sent.length;
    }

    /** Number of reports in the store. */
    get reportCount(): number {
        return this.store.items.size;
    }

    /** Stops all routers. */
    stop(): void {
        this.routers.forEach(({ reports }) => reports.close());
    }

    private createRouter(name: string): FakeRouter {
        const clock = (): number => Date.now();
        const reports = new CrashReports(
            this.store as unknown as MetadataStore,
            brand<Incarnation>(name),
            this.logs,
            () => undefined,
            { monotonic: clock, wall: clock },
            (crash, keep) => this.notifyPeers(name, crash, keep),
        );
        const tracker = new PoisonRequestTracker(
            reports,
            this.logs,
            () => undefined,
            clock,
            () => name === "router-0",
            () => randomFraction(this.random),
        );
        return { name, tracker, reports };
    }

    private notifyPeers(sender: string, crash: Crash, keep: boolean): void {
        for (const { name, tracker } of this.routers.slice(0, DIRECT_RECIPIENTS + 1)) {
            if (name !== sender) {
                this.schedule(...PEER_DELAY_MS, () => tracker.applyPeerReport(crash, keep));
            }
        }
    }

    private forwardReports(): void {
        const items = [...this.store.items.values()].filter(({ key }) => !this.delivered.has(key));
        items.forEach(({ key }) => this.delivered.add(key));
        if (items.length > 0) {
            this.routers.forEach(({ tracker }) => this.forwardTo(tracker, items));
        }
        this.schedule(20, 20, () => this.forwardReports());
    }

    private forwardTo(tracker: PoisonRequestTracker, items: readonly StoredItem[]): void {
        this.schedule(...STORE_DELAY_MS, () => tracker.applyItems(items));
    }

    private sendSound(): void {
        const system = randomElement(this.random, SYSTEM_PARTS)!;
        const session = brand<PromptPartId>(`${system}-session-${randomBelow(this.random, this.options.sessions)}`);
        const began = this.send([system, session]);
        if (began !== undefined) {
            this.sound.push({ at: Date.now(), began });
        }
    }

    private sendPoison(): void {
        if (this.isPoisonSent && this.send([SYSTEM_PARTS[0]!, POISON_PART]) === true) {
            this.poisonArrivals.push(Date.now());
        }
    }

    // Returns whether a request was sent, or undefined if no endpoint was up.
    private send(parts: readonly PromptPartId[]): boolean | undefined {
        const router = randomElement(this.random, this.routers)!;
        const engine = randomElement(this.random, this.engines.filter(({ isUp }) => isUp));
        if (engine === undefined) {
            return undefined;
        }
        const features = { request: brand<BodyDigest>(`request-${++this.requestCount}`), parts };
        if (router.tracker.admit(features).kind === "convicted") {
            return false;
        }
        this.runAt(engine, router, features);
        return true;
    }

    private runAt(engine: FakeEngine, router: FakeRouter, features: RequestFeatures): void {
        const { entry } = engine;
        const running = { router, send: router.tracker.track(entry, features) };
        engine.running.add(running);
        this.schedule(...PREFILL_MS, () => {
            if (!engine.running.has(running)) {
                return;
            }
            router.tracker.recordResponseByte(running.send, true, Date.now());
            if (features.parts.includes(POISON_PART)) {
                this.schedule(...CRASH_MS, () => engine.running.has(running) && this.crashOnPoison(engine));
                return;
            }
            this.stream(engine, running, Date.now() + this.between(...STREAM_MS));
        });
    }

    private stream(engine: FakeEngine, running: RunningSend, endsAt: number): void {
        const { tracker } = running.router;
        const waitMs = Math.min(BYTES_INTERVAL_MS, Math.max(1, endsAt - Date.now()));
        this.schedule(waitMs, waitMs, () => {
            const now = Date.now();
            if (!engine.running.has(running)) {
                return;
            }
            tracker.recordResponseByte(running.send, true, now);
            if (now < endsAt) {
                this.stream(engine, running, endsAt);
                return;
            }
            engine.running.delete(running);
            tracker.recordSendEnd(running.send, true, now);
            tracker.recordResponse(engine.entry, running.send, 200, "complete");
        });
    }

    private crashOnPoison(engine: FakeEngine): void {
        this.poisonCrashes.push(Date.now());
        this.crash(engine);
    }

    private crash(engine: FakeEngine): void {
        const now = Date.now();
        const { entry } = engine;
        const broken = [...engine.running];
        engine.running.clear();
        engine.isUp = false;
        broken.forEach(({ router, send }) => router.tracker.recordSendEnd(send, false, now));
        for (const router of new Set(broken.map((running) => running.router))) {
            this.schedule(2, 30, () => router.tracker.recordUnreachable(entry, Date.now()));
        }
        this.schedule(this.options.downMs, this.options.downMs, () => {
            engine.entry = { ...entry, id: brand<EndpointId>(`${entry.id.split("+")[0]!}+${++engine.starts}`) };
            engine.isUp = true;
        });
    }

    private sendEvery(intervalMs: number, send: () => void): void {
        this.schedule(0, 2 * intervalMs, () => {
            send();
            this.sendEvery(intervalMs, send);
        });
    }

    private schedule(minMs: number, maxMs: number, event: () => unknown): void {
        const step = Math.floor((Date.now() + this.between(minMs, maxMs)) / STEP_MS) + 1;
        const due = this.events.get(step) ?? [];
        due.push(event);
        this.events.set(step, due);
    }

    private between(minMs: number, maxMs: number): number {
        return minMs + randomFraction(this.random) * (maxMs - minMs);
    }
}
