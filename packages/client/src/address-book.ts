import { type Dispatcher, request } from "undici";

type AddressResponse = { readonly addresses: readonly { readonly address: string; }[]; readonly lifetimeMs: number; };

const REQUEST_TIMEOUT_MS = 1_000;

/** Caches the router addresses reported by the routers until their lifetime ends. */
export class AddressBook {
    private addresses: string[];
    private validUntil = 0;

    constructor(private readonly initialAddresses: readonly string[], private readonly credential: string) {
        this.addresses = [...initialAddresses];
    }

    /** Returns the addresses to use, best first. Initial addresses that no router reported come last. */
    async current(now: number, dispatcher: Dispatcher): Promise<string[]> {
        if (now >= this.validUntil) {
            await this.refresh(now, dispatcher);
        }
        return [...this.addresses, ...this.initialAddresses.filter((address) => !this.addresses.includes(address))];
    }

    /** Moves a failed address to the end and forces a refresh. */
    demote(address: string): void {
        this.addresses = [...this.addresses.filter((other) => other !== address), address];
        this.validUntil = 0;
    }

    private async refresh(now: number, dispatcher: Dispatcher): Promise<void> {
        for (const address of [...this.addresses]) {
            const response = await this.fetchAddresses(address, dispatcher);
            if (response !== undefined && response.addresses.length > 0) {
                this.addresses = response.addresses.map((entry) => entry.address);
                this.validUntil = now + response.lifetimeMs;
                return;
            }
        }
    }

    private async fetchAddresses(address: string, dispatcher: Dispatcher): Promise<AddressResponse | undefined> {
        try {
            const headers = { authorization: `Bearer ${this.credential}` };
            const signal = AbortSignal.timeout(REQUEST_TIMEOUT_MS);
            const response = await request(`${address}/v1/addresses`, { headers, signal, dispatcher });
            const body = await response.body.json() as AddressResponse;
            return response.statusCode === 200 ? body : undefined;
        }
        catch {
            return undefined;
        }
    }
}
