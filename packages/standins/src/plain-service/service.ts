import Fastify, { type FastifyInstance, type FastifyRequest } from "fastify";

/** What a service did; the checks of a run use how often each request key ran. */
export type ServiceCounts = { readonly runs: Record<string, number>; startedAfterLeaving: number; };

/** Faults that can be injected with POST /faults. */
export type ServiceFaults = { leaving: boolean; delayMs: number; };

/** A simulated plain service that counts how often each request key ran. */
export class PlainService {
    readonly counts: ServiceCounts = { runs: {}, startedAfterLeaving: 0 };
    readonly faults: ServiceFaults = { leaving: false, delayMs: 0 };
    private readonly server: FastifyInstance;
    private activeRequests = 0;

    constructor(private readonly slots: number, private readonly workMs: number) {
        this.server = Fastify({ forceCloseConnections: true });
        this.server.get(
            "/load",
            async () => ({ running: this.activeRequests, queued: 0, slots: this.slots, leaving: this.faults.leaving }),
        );
        this.server.get("/counts", async () => this.counts);
        this.server.post("/faults", async (request) => Object.assign(this.faults, request.body));
        this.server.all("/*", async (request) => this.run(request));
    }

    /** Starts to listen on loopback. */
    async listen(port: number): Promise<void> {
        await this.server.listen({ port, host: "127.0.0.1" });
    }

    private async run(request: FastifyRequest): Promise<object> {
        const key = String(request.headers["idempotency-key"] ?? "none");
        this.counts.runs[key] = (this.counts.runs[key] ?? 0) + 1;
        this.activeRequests++;
        await new Promise((resolve) => setTimeout(resolve, this.workMs + this.faults.delayMs));
        this.activeRequests--;
        return { key, path: request.url, done: true };
    }
}
