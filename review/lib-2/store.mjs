// Stand-in of the platform's metadata store, as PROTOCOL.md describes it: items, watches, transactions and leases.
import { createServer } from "node:http";

const EXPIRY_CHECK_MS = 50;
const WATCH_CHECK_MS = 10;
const MAX_PAGE_ITEMS = 500;
const MAX_TRANSACTION_ENTRIES = 32;

export class Store {
    /** "well", or "busy": status 503, by which nothing was done. */
    state = "well";
    /** Number of the store's copy, sent as Store-Era; undefined sends no such header. */
    era;
    #items = new Map();
    #changes = [];
    #leases = new Map();
    #revision = 1;
    #nextLease = 1;

    constructor(era) {
        this.era = era;
        this.server = createServer((request, response) => void this.#receive(request, response));
        this.timer = setInterval(() => this.#expireLeases(), EXPIRY_CHECK_MS);
    }

    async start() {
        await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${this.server.address().port}`;
    }

    stop() {
        clearInterval(this.timer);
        this.server.closeAllConnections();
        this.server.close();
    }

    /** Writes a key for the operator or a runner. */
    put(key, value) {
        this.#write(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0, ++this.#revision);
    }

    delete(key) {
        this.#remove(key, ++this.#revision);
    }

    read(prefix) {
        return [...this.#items.values()].filter(({ key }) => key.startsWith(prefix)).map(({ key, value, revision }) => {
            return { key, revision, value: JSON.parse(Buffer.from(value, "base64").toString()) };
        });
    }

    /** Returns a copy of everything that the store holds now. */
    copy() {
        return {
            items: new Map(this.#items),
            changes: [...this.#changes],
            revision: this.#revision,
            leases: new Map([...this.#leases].map(([id, lease]) => [id, { ...lease }])),
        };
    }

    /** Comes back from a copy: what was written since is gone, and its revisions are given out again. */
    restore(copy) {
        this.#items = new Map(copy.items);
        this.#changes = [...copy.changes];
        this.#revision = copy.revision;
        this.#leases = new Map(
            [...copy.leases].map(([id, { ttlMs }]) => [id, { ttlMs, endsAt: performance.now() + ttlMs }]),
        );
        this.era++;
    }

    #write(key, value, lease, revision) {
        const before = this.#items.get(key);
        const item = { key, value, lease, revision, createdRev: before?.createdRev ?? revision };
        this.#items.set(key, item);
        this.#changes.push(item);
    }

    #remove(key, revision) {
        if (this.#items.delete(key)) {
            this.#changes.push({ key, revision, deleted: true });
        }
    }

    #expireLeases() {
        // Leases pause while the store is down.
        for (const [id, lease] of this.#leases) {
            if (this.state !== "well") {
                lease.endsAt += EXPIRY_CHECK_MS;
            }
            else if (lease.endsAt < performance.now()) {
                this.#endLease(id);
            }
        }
    }

    #endLease(id) {
        const existed = this.#leases.delete(id);
        const keys = [...this.#items.values()].filter(({ lease }) => lease === id).map(({ key }) => key);
        keys.forEach((key) => this.#remove(key, ++this.#revision));
        return existed;
    }

    async #receive(request, response) {
        let body = "";
        try {
            for await (const chunk of request) {
                body += chunk;
            }
        }
        catch {
            return;
        }
        const url = new URL(request.url, "http://store");
        const [status, answer] = this.state === "well" ? await this.#handle(url, body) : [503, {}];
        const isCut = this.state !== "well" && status === 200;
        response.writeHead(isCut ? 503 : status, {
            "content-type": "application/json",
            ...(this.era === undefined ? {} : { "store-era": String(this.era) }),
        });
        response.end(JSON.stringify(isCut ? {} : answer));
    }

    #handle(url, body) {
        const [, , call, id] = url.pathname.split("/");
        const query = url.searchParams;
        switch (call) {
            case "kv-key": {
                const item = this.#items.get(query.get("key"));
                return item === undefined ? [404, {}] : [200, { ...item, currentRev: this.#revision }];
            }
            case "kv-range":
                return this.#range(query.get("prefix"), query.get("after") ?? "");
            case "kv-watch":
                return this.#watch(query.get("prefix"), Number(query.get("after")), Number(query.get("waitMs")));
            case "kv-txn":
                return this.#transact(JSON.parse(body));
            case "kv-lease":
                return this.#grant(JSON.parse(body).ttlMs);
            case "kv-keep":
                return this.#renew(Number(id));
            case "kv-lease-end":
                return this.#endLease(Number(id)) ? [200, {}] : [404, {}];
            default:
                return [400, {}];
        }
    }

    #range(prefix, after) {
        const all = [...this.#items.values()]
            .filter(({ key }) => key.startsWith(prefix) && key > after)
            .sort((one, other) => one.key < other.key ? -1 : 1);
        const items = all.slice(0, MAX_PAGE_ITEMS);
        return [200, { items, truncated: items.length < all.length, currentRev: this.#revision }];
    }

    async #watch(prefix, after, waitMs) {
        const endsAt = performance.now() + waitMs;
        const { era } = this;
        for (;;) {
            // A watch from a revision that the store doesn't have.
            if (after > this.#revision || era !== this.era) {
                return [410, {}];
            }
            const events = this.#changes.filter((change) => change.revision > after && change.key.startsWith(prefix));
            if (events.length > 0 || performance.now() >= endsAt || this.state !== "well") {
                return [200, { events, currentRev: this.#revision }];
            }
            await new Promise((resolve) => setTimeout(resolve, WATCH_CHECK_MS));
        }
    }

    #transact({ prevRev = [], writes = [], remove = [] }) {
        if (prevRev.length + writes.length + remove.length > MAX_TRANSACTION_ENTRIES) {
            return [400, {}];
        }
        if ([...writes.map(({ key }) => key), ...remove].some((key) => /^(op|servers)\//.test(key))) {
            return [403, {}];
        }
        if (prevRev.some(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
            return [412, { items: prevRev.flatMap(({ key }) => this.#items.get(key) ?? []) }];
        }
        if (writes.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) {
            return [404, {}];
        }
        const revision = ++this.#revision;
        writes.forEach(({ key, value, lease = 0 }) => this.#write(key, value, lease, revision));
        remove.forEach((key) => this.#remove(key, revision));
        return [200, { revision }];
    }

    #grant(ttlMs) {
        const lease = this.#nextLease++;
        this.#leases.set(lease, { ttlMs, endsAt: performance.now() + ttlMs });
        return [200, { lease, ttlMs }];
    }

    #renew(id) {
        const lease = this.#leases.get(id);
        if (lease === undefined) {
            return [404, {}];
        }
        lease.endsAt = performance.now() + lease.ttlMs;
        return [200, { lease: id, ttlMs: lease.ttlMs }];
    }
}
