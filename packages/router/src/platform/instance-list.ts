import { Agent, request } from "undici";

/** A router in the platform's instance list. */
export type ListedInstance = { readonly address: string; readonly leaving: boolean; };

/** The platform's list of live and leaving instances, which may be out of date. */
export abstract class InstanceList {
    /** Reads the list; returns undefined if it is unavailable. */
    abstract read(): Promise<ListedInstance[] | undefined>;
}

/** A fixed list from the settings. */
export class StaticInstanceList extends InstanceList {
    constructor(private readonly addresses: readonly string[]) {
        super();
    }

    override async read(): Promise<ListedInstance[]> {
        return this.addresses.map((address) => ({ address, leaving: false }));
    }
}

/** A list read over HTTP as a JSON array, merged with the addresses from the settings. */
export class HttpInstanceList extends InstanceList {
    private readonly agent: Agent;

    constructor(
        private readonly address: string,
        private readonly configuredAddresses: readonly string[],
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
            const configured = this.configuredAddresses.map((address) => ({ address, leaving: false }));
            return [
                ...configured.filter((entry) => !listed.some((other) => other.address === entry.address)),
                ...listed,
            ];
        }
        catch {
            return undefined;
        }
    }
}
