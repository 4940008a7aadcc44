// Stand-in for the platform's store: items with revisions, watches, conditional transactions and leases.
import { createServer } from "node:http";

const PAGE_ITEMS = 500;
const MAX_ENTRIES = 32;

export class Store {
    items = new Map();
    changes = [];
    revision = 1;
    leases = new Map();
    nextLease = 1;
    waiting = new Set();
    /** Rises by one each time the store comes back from a copy. */
    era = 1;
    isAway = false;

    async listen(port) {
        this.server = createServer((request, response) => void this.receive(request, response));
        this.server.keepAliveTimeout = 60_000;
        await new Promise((resolve) => this.server.listen(port, "127.0.0.1", resolve));
        this.timer = setInterval(() => this.expire(Date.now()), 20);
    }

    stop() {
        clearInterval(this.timer);
        this.server.closeAllConnections();
        this.server.close();
    }

    // Writes a key on behalf of the operator or of a runner. Returns the revision, the acknowledgement.
    put(key, value) {
        this.write({ key, value: Buffer.from(JSON.stringify(value)).toString("base64") }, ++this.revision);
        this.wake();
        return this.revision;
    }

    delete(key) {
        if (this.items.delete(key)) {
            this.changes.push({ key, revision: ++this.revision, deleted: true });
            this.wake();
        }
    }

    read(key) {
        const item = this.items.get(key);
        return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, "base64").toString());
    }

    copy() {
        return {
            items: new Map(this.items),
            changes: [...this.changes],
            revision: this.revision,
            leases: new Map([...this.leases].map(([lease, state]) => [lease, { ...state }])),
        };
    }

    /** Comes back from a copy: what was written since is gone, leases too, and revisions go back. */
    restore({ items, changes, revision, leases }) {
        Object.assign(this, { items, changes, revision, leases });
        leases.forEach((state) => (state.expiresAt = Date.now() + state.ttlMs));
        this.era++;
        this.isAway = false;
    }

    /** Answers no call until it comes back. */
    leave() {
        this.isAway = true;
        this.server.closeAllConnections();
        this.wake();
    }

    write({ key, value, lease = 0 }, revision) {
        const createdRev = this.items.get(key)?.createdRev ?? revision;
        const item = { key, value, revision, createdRev, lease };
        this.items.set(key, item);
        this.changes.push(item);
    }

    wake() {
        const waiting = [...this.waiting];
        this.waiting.clear();
        waiting.forEach((resume) => resume());
    }

    expire(now) {
        for (const [lease, { expiresAt }] of this.leases) {
            if (expiresAt < now) {
                this.endLease(lease);
            }
        }
    }

    endLease(lease) {
        const existed = this.leases.delete(lease);
        [...this.items.values()].filter((item) => item.lease === lease).forEach(({ key }) => this.delete(key));
        return existed;
    }

    async receive(request, response) {
        const chunks = [];
        request.on("error", () => undefined);
        response.on("error", () => undefined);
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        if (this.isAway) {
            response.writeHead(503, { "Store-Era": this.era }).end();
            return;
        }
        const url = new URL(request.url, "http://store");
        const text = Buffer.concat(chunks).toString();
        const [status, body] = await this.handle(url, text === "" ? {} : JSON.parse(text));
        response.writeHead(status, { "content-type": "application/json", "Store-Era": this.era });
        response.end(JSON.stringify(body));
    }

    async handle(url, body) {
        const [, , name, id] = url.pathname.split("/");
        const query = url.searchParams;
        switch (name) {
            case "kv-key": {
                const item = this.items.get(query.get("key"));
                return item === undefined ? [404, {}] : [200, { ...item, currentRev: this.revision }];
            }
            case "kv-range": {
                const after = query.get("after") ?? "";
                const found = [...this.items.values()]
                    .filter(({ key }) => key.startsWith(query.get("prefix")) && key > after)
                    .sort((one, other) => (one.key < other.key ? -1 : 1));
                const items = found.slice(0, PAGE_ITEMS);
                return [200, { items, truncated: items.length < found.length, currentRev: this.revision }];
            }
            case "kv-watch":
                return this.watch(query);
            case "kv-txn":
                return this.transact(body);
            case "kv-lease": {
                const lease = this.nextLease++;
                const ttlMs = Math.min(600_000, Math.max(1_000, body.ttlMs));
                this.leases.set(lease, { ttlMs, expiresAt: Date.now() + ttlMs });
                return [200, { lease, ttlMs }];
            }
            case "kv-keep": {
                const lease = this.leases.get(Number(id));
                if (lease === undefined) {
                    return [404, {}];
                }
                lease.expiresAt = Date.now() + lease.ttlMs;
                return [200, { ttlMs: lease.ttlMs }];
            }
            case "kv-lease-end":
                return [this.endLease(Number(id)) ? 200 : 404, {}];
            default:
                return [400, {}];
        }
    }

    async watch(query) {
        const [prefix, after] = [query.get("prefix"), Number(query.get("after"))];
        const end = Date.now() + Math.min(30_000, Number(query.get("waitMs")));
        for (;;) {
            if (after > this.revision) {
                return [410, {}];
            }
            const events = this.changes.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
            const leftMs = end - Date.now();
            if (events.length > 0 || leftMs <= 0) {
                return [200, { events, currentRev: this.revision }];
            }
            await new Promise((resolve) => {
                const timer = setTimeout(resolve, leftMs);
                this.waiting.add(() => {
                    clearTimeout(timer);
                    resolve();
                });
            });
        }
    }

    transact({ prevRev = [], writes = [], remove = [] }) {
        if (prevRev.length + writes.length + remove.length > MAX_ENTRIES) {
            return [400, { error: "too many entries" }];
        }
        const isForbidden = (key) => key.startsWith("op/") || key.startsWith("servers/");
        if ([...writes.map(({ key }) => key), ...remove].some(isForbidden)) {
            return [403, {}];
        }
        if (prevRev.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
            return [412, { items: prevRev.map(({ key }) => this.items.get(key) ?? { key, revision: 0 }) }];
        }
        if (writes.some(({ lease }) => lease !== undefined && lease !== 0 && !this.leases.has(lease))) {
            return [404, {}];
        }
        const revision = ++this.revision;
        writes.forEach((write) => this.write(write, revision));
        remove.filter((key) => this.items.delete(key)).forEach((key) => this.changes.push({ key, revision, deleted: true }));
        this.wake();
        return [200, { revision }];
    }
}
