import Fastify, { type FastifyInstance, type FastifyReply } from "fastify";

type StoredValue = { readonly value: string; readonly revision: number; readonly lease: string | undefined; };
type Lease = { readonly seconds: number; expiresAt: number; };

/** Faults that can be injected with POST /faults. */
export type KeyValueFaults = {
    /** Reads, writes and lease calls fail with 503 and are not applied. */
    down: boolean;
    /** Time in ms added to each call. */
    delayMs: number;
    /** Share of writes that are applied but whose reply is lost. */
    lostReplies: number;
    /** Calls per second above which calls fail with 503; 0 for no limit. */
    mostCallsPerSecond: number;
};

/** Counts of the calls received. */
export type KeyValueCounts = {
    reads: number;
    writes: number;
    applied: number;
    conflicts: number;
    bytesWritten: number;
};

type KeyValuePair = { readonly key: string; readonly value: string; readonly mod_revision: string; };

type TransactionBody = {
    readonly compare: readonly { readonly key: string; readonly mod_revision: string; }[];
    readonly success: readonly {
        readonly request_put: { readonly key: string; readonly value: string; readonly lease?: string; };
    }[];
};

/** A key-value service with the subset of the JSON gateway of etcd v3 that routers use. */
export class KeyValueServer {
    readonly faults: KeyValueFaults = { down: false, delayMs: 0, lostReplies: 0, mostCallsPerSecond: 0 };
    readonly counts: KeyValueCounts = { reads: 0, writes: 0, applied: 0, conflicts: 0, bytesWritten: 0 };
    private readonly values = new Map<string, StoredValue>();
    private readonly leases = new Map<string, Lease>();
    private readonly watchers = new Map<string, Set<FastifyReply>>();
    private readonly server: FastifyInstance;
    private revision = 0;
    private nextLease = 1;
    private windowStart = 0;
    private windowCalls = 0;

    constructor(private readonly random: () => number) {
        this.server = Fastify({ forceCloseConnections: true, bodyLimit: 16 * 1024 * 1024 });
        this.server.post("/v3/kv/range", async (request, reply) => this.respond(reply, () => this.range(request.body)));
        this.server.post(
            "/v3/kv/txn",
            async (request, reply) => this.respond(reply, () => this.transact(request.body), true),
        );
        this.server.post(
            "/v3/lease/grant",
            async (request, reply) => this.respond(reply, () => this.grant(request.body)),
        );
        this.server.post(
            "/v3/lease/keepalive",
            async (request, reply) => this.respond(reply, () => this.renew(request.body)),
        );
        this.server.post("/v3/watch", (request, reply) => this.watch(request.body, reply));
        this.server.post("/faults", async (request) => Object.assign(this.faults, request.body));
        this.server.get("/counts", async () => this.counts);
        this.server.get(
            "/dump",
            async () => Object.fromEntries([...this.values].map(([key, entry]) => [key, entry.value])),
        );
    }

    /** Starts to listen on loopback. */
    async listen(port: number): Promise<void> {
        await this.server.listen({ port, host: "127.0.0.1" });
    }

    /** Stops listening. */
    async close(): Promise<void> {
        await this.server.close();
    }

    private async respond(reply: FastifyReply, handle: () => object, isWrite = false): Promise<object | undefined> {
        if (this.faults.delayMs > 0) {
            await new Promise((resolve) => setTimeout(resolve, this.faults.delayMs));
        }
        if (this.faults.down || this.isOverLimit()) {
            void reply.code(503);
            return { error: "unavailable" };
        }
        const body = handle();
        if (isWrite && this.random() < this.faults.lostReplies) {
            reply.raw.destroy();
            return reply;
        }
        return body;
    }

    private isOverLimit(): boolean {
        const now = Date.now();
        if (now - this.windowStart >= 1000) {
            this.windowStart = now;
            this.windowCalls = 0;
        }
        this.windowCalls++;
        return this.faults.mostCallsPerSecond > 0 && this.windowCalls > this.faults.mostCallsPerSecond;
    }

    private range(input: unknown): object {
        this.counts.reads++;
        this.expireLeases();
        const body = input as { key: string; range_end?: string; keys_only?: boolean; };
        const { key, range_end: end } = body;
        const rangeStart = decodeBase64(key);
        const rangeEnd = end === undefined ? undefined : decodeBase64(end);
        const matches = [...this.values].filter(([name]) =>
            rangeEnd === undefined ? name === rangeStart : name >= rangeStart && name < rangeEnd
        );
        const kvs = matches.map(([name, entry]) => this.toPair(name, entry));
        return { header: this.header(), kvs: body.keys_only === true ? kvs.map(withoutValue) : kvs };
    }

    private transact(input: unknown): object {
        this.counts.writes++;
        this.expireLeases();
        const body = input as TransactionBody;
        const compare = body.compare[0]!;
        const name = decodeBase64(compare.key);
        const current = this.values.get(name);
        if ((current?.revision ?? 0) !== Number(compare.mod_revision)) {
            this.counts.conflicts++;
            const kvs = current === undefined ? [] : [this.toPair(name, current)];
            return { header: this.header(), succeeded: false, responses: [{ response_range: { kvs } }] };
        }
        const put = body.success[0]!.request_put;
        const value = decodeBase64(put.value);
        this.revision++;
        this.counts.applied++;
        this.counts.bytesWritten += value.length;
        this.values.set(name, { value, revision: this.revision, lease: put.lease });
        this.notify(name);
        return { header: this.header(), succeeded: true };
    }

    private grant(input: unknown): object {
        this.counts.writes++;
        const seconds = Number((input as { TTL: string; }).TTL);
        const id = String(this.nextLease++);
        this.leases.set(id, { seconds, expiresAt: Date.now() + seconds * 1000 });
        return { ID: id, TTL: String(seconds) };
    }

    private renew(input: unknown): object {
        this.counts.writes++;
        this.expireLeases();
        const id = (input as { ID: string; }).ID;
        const lease = this.leases.get(id);
        if (lease !== undefined) {
            lease.expiresAt = Date.now() + lease.seconds * 1000;
        }
        return { result: { ID: id, TTL: String(lease?.seconds ?? 0) } };
    }

    private watch(input: unknown, reply: FastifyReply): void {
        reply.hijack();
        const key = decodeBase64((input as { create_request: { key: string; }; }).create_request.key);
        const watchers = this.watchers.get(key) ?? new Set();
        this.watchers.set(key, watchers);
        watchers.add(reply);
        reply.raw.writeHead(200, { "content-type": "application/json" });
        reply.raw.write(JSON.stringify({ result: { created: true } }) + "\n");
        reply.raw.on("close", () => watchers.delete(reply));
    }

    private notify(key: string): void {
        for (const reply of this.watchers.get(key) ?? []) {
            reply.raw.write(JSON.stringify({ result: { events: [{}] } }) + "\n");
        }
    }

    private expireLeases(): void {
        const now = Date.now();
        for (const [id, lease] of this.leases) {
            if (lease.expiresAt < now) {
                this.leases.delete(id);
                this.deleteLeasedKeys(id);
            }
        }
    }

    private deleteLeasedKeys(id: string): void {
        for (const [key, entry] of this.values) {
            if (entry.lease === id) {
                this.values.delete(key);
            }
        }
    }

    private toPair(name: string, entry: StoredValue): KeyValuePair {
        return { key: encodeBase64(name), value: encodeBase64(entry.value), mod_revision: String(entry.revision) };
    }

    private header(): object {
        return { revision: String(this.revision) };
    }
}

function withoutValue({ key, mod_revision }: KeyValuePair): Omit<KeyValuePair, "value"> {
    return { key, mod_revision };
}

function encodeBase64(text: string): string {
    return Buffer.from(text).toString("base64");
}

function decodeBase64(text: string): string {
    return Buffer.from(text, "base64").toString();
}
