import {
    brand,
    createRandom,
    type EndpointId,
    type FailureDomain,
    type Random,
    randomBelow,
    randomElement,
    randomFraction,
} from "@gooseberrybend/core";
import {
    acceptsRequests,
    changeSources,
    createEndpointTable,
    divideDeadline,
    type EndpointEntry,
    type EndpointTable,
    type FleetMember,
    type ServiceName,
    storeWatchersOf,
} from "@gooseberrybend/core/dispatch";
import { memberOf } from "@gooseberrybend/core/mocks";
import { err, ok, type Result } from "neverthrow";
import { EndpointRegistrations } from "../endpoint-registrations.js";
import { LargeValues } from "../large-values.js";
import { createGatewayLogs } from "../log-sink.js";
import type { MetadataStore, StoredItem } from "../metadata-store.js";
import type { PeerCalls, PeerFailure } from "../peer-calls.js";
import { ChangeHistory, PeerChangeFeed } from "../peer-change-feed.js";
import { sleep } from "../sleep.js";
import { StoreFollower } from "../store-follower.js";
import { FakeChangeStore, type StoreAccess } from "./fake-change-store.js";

const PREFIX = "endpoints/";
const DOMAINS = ["a", "b", "c", "d", "e"];
/** Range in ms of the time that a message between routers takes. */
const MESSAGE_MS = [1, 4] as const;
/** Step in ms in which the state of the routers is sampled. */
const SAMPLE_MS = 20;
/** Time in ms between two endpoints that leave; as many join. */
const LEAVE_INTERVAL_MS = 700;
const ENDPOINTS = 12;

/** Time in ms between two changes of keys that other routers do not relay. */
const UNRELATED_CHANGE_INTERVAL_MS = 40;
/** Shortest outage in ms in which registrations of endpoints expire. */
const SHORTEST_EXPIRY_MS = 2_400;
/** Deadlines after which an endpoint that has left is no longer sampled. */
const MAX_DELAY_DEADLINES = 3;

/** What disturbs a router; `refused` is a short refusal by the store, which excuses nothing. */
export type RouterFault = "dark" | "no-store" | "slow" | "refused";

/** Ranges in ms of the time that each fault lasts. */
const FAULT_MS: Readonly<Record<RouterFault, readonly [number, number]>> = {
    "dark": [500, 6_000],
    "no-store": [500, 6_000],
    "slow": [500, 4_000],
    "refused": [50, 900],
};
/** Routers that are lost at the same time, at most; a deployment is declared to bear as many. */
const MAX_LOST_ROUTERS = 2;
/** Range in ms by which a slow router responds later. */
const SLOW_MS = [100, 1_500] as const;

/** Parameters of a fleet. */
export type FakeFollowingFleetOptions = {
    readonly routers: number;
    /** Time in ms after which no request may reach an endpoint that has left. */
    readonly deadlineMs: number;
    /** Time in ms without a fault after which a router must keep the deadline. */
    readonly stabilityMs: number;
    readonly seed: number;
};

type FollowingRouter = {
    readonly member: FleetMember;
    readonly follower: StoreFollower;
    readonly history: ChangeHistory;
    readonly table: EndpointTable;
    storeAccess: StoreAccess;
    isDark: boolean;
    slowMs: number;
    excusedUntil: number;
};

/** A use of an endpoint that had left. */
export type LateUse = { readonly router: string; readonly endpoint: string; readonly at: number; readonly ms: number; };

/** Routers that follow a store, by its watches and by each other, while routers and calls fail. */
export class FakeFollowingFleet {
    readonly store = new FakeChangeStore();
    /** The use of an endpoint that came latest after it had left, by a router that must keep the deadline. */
    latest: LateUse | undefined;
    private readonly routers = new Map<string, FollowingRouter>();
    private readonly watchers: readonly FleetMember[];
    private readonly leftAt = new Map<EndpointId, number>();
    private readonly random: Random;
    private nextEndpoint = 1;
    private nextLeaveAt = LEAVE_INTERVAL_MS;

    constructor(private readonly options: FakeFollowingFleetOptions) {
        this.random = createRandom(options.seed);
        const members = Array.from(
            { length: options.routers },
            (unused, index) => memberOf(`router-${index + 1}`, {}, DOMAINS[index % DOMAINS.length]),
        );
        this.watchers = storeWatchersOf(members);
        for (let index = 0; index < ENDPOINTS; index++) {
            this.join();
        }
        members.forEach((member) => this.routers.set(member.peerAddress, this.createRouter(member)));
    }

    /** Names of the routers that watch the store, and of all. */
    get watcherNames(): readonly string[] {
        return this.watchers.map(({ name }) => name);
    }

    get routerNames(): readonly string[] {
        return [...this.routers.values()].map(({ member }) => member.name);
    }

    /** Disturbs a router for a time in ms. */
    disturb(name: string, fault: RouterFault, durationMs: number, slowMs = 0): void {
        const router = [...this.routers.values()].find(({ member }) => member.name === name)!;
        const until = Date.now() + durationMs;
        if (fault !== "refused") {
            router.excusedUntil = Math.max(router.excusedUntil, until + this.options.stabilityMs);
        }
        router.storeAccess = {
            "dark": "silent",
            "no-store": "silent",
            "slow": "well",
            "refused": "refused",
        }[fault] as StoreAccess;
        router.isDark = fault === "dark";
        router.slowMs = slowMs;
        setTimeout(() => Object.assign(router, { storeAccess: "well", isDark: false, slowMs: 0 }), durationMs);
    }

    /** Disturbs one of the given routers by one of the given faults. */
    disturbAny(names: readonly string[], faults: readonly RouterFault[]): void {
        const fault = randomElement(this.random, faults)!;
        const lost = [...this.routers.values()].filter(({ storeAccess }) => storeAccess === "silent");
        if (lost.length >= MAX_LOST_ROUTERS && (fault === "dark" || fault === "no-store")) {
            return;
        }
        const slowMs = fault === "slow" ? this.between(SLOW_MS) : 0;
        this.disturb(randomElement(this.random, names)!, fault, this.between(FAULT_MS[fault]), slowMs);
    }

    /** Lets time pass. */
    async run(durationMs: number, advance: (stepMs: number) => Promise<unknown>): Promise<void> {
        const end = Date.now() + durationMs;
        while (Date.now() < end) {
            if (Date.now() >= this.nextLeaveAt) {
                this.nextLeaveAt += LEAVE_INTERVAL_MS;
                this.leave();
                this.join();
            }
            if (Date.now() % UNRELATED_CHANGE_INTERVAL_MS === 0) {
                this.store.put("records/1", {});
            }
            await advance(SAMPLE_MS);
            this.sample();
        }
    }

    /** An endpoint leaves: half of them announce it, the others remove their registration. */
    leave(): void {
        const remaining = this.registered();
        const id = randomElement(this.random, remaining)!;
        this.leftAt.set(id, Date.now());
        if (randomFraction(this.random) < 0.5) {
            this.store.put(PREFIX + id, { leaving: true });
        }
        else {
            this.store.remove(PREFIX + id);
        }
    }

    /** Returns a number between two others. */
    between([lowest, highest]: readonly [number, number]): number {
        return lowest + randomBelow(this.random, highest - lowest + 1);
    }

    stop(): void {
        this.routers.forEach(({ follower }) => follower.stop());
    }

    private registered(): EndpointId[] {
        return Array.from({ length: this.nextEndpoint - 1 }, (unused, index) => brand<EndpointId>(`e-${index + 1}`))
            .filter((id) => !this.leftAt.has(id));
    }

    private join(): void {
        this.store.put(`${PREFIX}e-${this.nextEndpoint++}`, { leaving: false });
    }

    private sample(): void {
        const now = Date.now();
        for (const [id, leftAt] of this.leftAt) {
            if (now - leftAt > MAX_DELAY_DEADLINES * this.options.deadlineMs) {
                continue;
            }
            const users = [...this.routers.values()].filter(({ table }) => {
                const row = table.rows.get(id);
                return row !== undefined && acceptsRequests(table, row, now);
            });
            const ms = now - leftAt;
            for (const { member, excusedUntil } of users) {
                if (excusedUntil <= now && ms > (this.latest?.ms ?? 0)) {
                    this.latest = { router: member.name, endpoint: id, at: now, ms };
                }
            }
        }
    }

    private createRouter(member: FleetMember): FollowingRouter {
        const logs = createGatewayLogs({ level: process.env["TEST_LOG_LEVEL"] === "info" ? "info" : "error" });
        const clock = (): number => Date.now();
        const table = createEndpointTable();
        const registrations = new EndpointRegistrations(
            { endpointPrefix: PREFIX, readEndpoint: (key, value) => ok(entryOf(key, value)) },
            table,
            logs,
            { onRestarted: () => undefined, onRemoved: () => undefined, onCount: () => undefined },
        );
        const access = (): StoreAccess => router.storeAccess;
        const store = {
            list: () => this.store.list(access),
            changes: (prefix: string, after: number, waitMs: number) => this.store.watch(access, prefix, after, waitMs),
        } as unknown as MetadataStore;
        const calls = {
            call: (address: string, method: string, parameters: object, timeoutMs: number) =>
                this.callPeer(router, address, parameters, timeoutMs),
        } as unknown as PeerCalls;
        const history = new ChangeHistory([PREFIX], clock);
        const feed = new PeerChangeFeed(calls, () => changeSources(this.watchers, member), clock);
        const isWatcher = this.watchers.includes(member);
        const follower: StoreFollower = new StoreFollower(
            store,
            {
                onReplaced: (items: readonly StoredItem[], revision, now) =>
                    registrations.replace(
                        items.filter(({ key }) => key.startsWith(PREFIX)),
                        follower.expiryGraceMs(SHORTEST_EXPIRY_MS, now),
                        now,
                    ),
                onChanged: ({ key, item }, now) => {
                    if (!key.startsWith(PREFIX)) {
                        return;
                    }
                    if (item === undefined) {
                        registrations.remove(key, follower.expiryGraceMs(SHORTEST_EXPIRY_MS, now), now);
                        return;
                    }
                    registrations.put(item, now);
                },
                onAvailable: () => undefined,
            },
            logs,
            clock,
            () => this.options.deadlineMs,
            feed,
            () => isWatcher,
            history,
            [PREFIX],
            new LargeValues(calls, () => [], store, logs, () => divideDeadline(this.options.deadlineMs)),
        );
        const router: FollowingRouter = {
            member,
            follower,
            history,
            table,
            storeAccess: "well",
            isDark: false,
            slowMs: 0,
            excusedUntil: this.options.stabilityMs,
        };
        void follower.run();
        return router;
    }

    private async callPeer(
        caller: FollowingRouter,
        address: string,
        parameters: object,
        timeoutMs: number,
    ): Promise<Result<unknown, PeerFailure>> {
        const source = this.routers.get(address)!;
        let timer: NodeJS.Timeout | undefined;
        const timeout = new Promise<Result<unknown, PeerFailure>>((resolve) => {
            timer = setTimeout(() => resolve(err({ kind: "no-answer", detail: "timeout" })), timeoutMs);
        });
        const response = async (): Promise<Result<unknown, PeerFailure>> => {
            await sleep(this.between(MESSAGE_MS) + source.slowMs / 2 + caller.slowMs / 2);
            const body = JSON.stringify(await source.history.respond(parameters));
            await sleep(this.between(MESSAGE_MS) + source.slowMs / 2 + caller.slowMs / 2);
            return source.isDark || caller.isDark ? timeout : ok(JSON.parse(body));
        };
        return caller.isDark || source.isDark
            ? timeout
            : Promise.race([response(), timeout]).finally(() => clearTimeout(timer));
    }
}

function entryOf(key: string, value: Buffer): EndpointEntry {
    const { leaving } = JSON.parse(value.toString()) as { leaving: boolean; };
    return {
        id: brand<EndpointId>(key.slice(PREFIX.length)),
        startedAt: 1,
        service: brand<ServiceName>("engines"),
        address: "127.0.0.1:1",
        domain: brand<FailureDomain>("a"),
        slots: 64,
        leaving,
    };
}
