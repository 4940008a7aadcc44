import { Agent, request } from "undici";

/** A router that the platform's instance list names. */
export type ListedInstance = { readonly address: string; readonly leaving: boolean; };

/** The platform's lagging list of live and leaving instances. */
export abstract class InstanceList {
    /** Reads the list, or undefined when it cannot be had. */
    abstract read(): Promise<ListedInstance[] | undefined>;
}

/** A list that the settings give. */
export class StaticInstanceList extends InstanceList {
    constructor(private readonly addresses: readonly string[]) {
        super();
    }

    override async read(): Promise<ListedInstance[]> {
        return this.addresses.map((address) => ({ address, leaving: false }));
    }
}

/** A list that is read over HTTP as a JSON array, joined with the addresses that the settings give. */
export class HttpInstanceList extends InstanceList {
    private readonly agent: Agent;

    constructor(
        private readonly address: string,
        private readonly known: readonly string[],
        private readonly timeoutMs: number,
    ) {
        super();
        this.agent = new Agent({ connect: { timeout: timeoutMs } });
    }

    override async read(): Promise<ListedInstance[] | undefined> {
        try {
            const signal = AbortSignal.timeout(this.timeoutMs);
            const response = await request(`${this.address}/v1/instances`, { dispatcher: this.agent, signal });
            const listed = await response.body.json() as ListedInstance[];
            const known = this.known.map((address) => ({ address, leaving: false }));
            return [...known.filter((entry) => !listed.some((other) => other.address === entry.address)), ...listed];
        }
        catch {
            return undefined;
        }
    }
}
