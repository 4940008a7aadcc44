import { type Dispatcher, request } from "undici";

type AddressAnswer = { readonly addresses: readonly { readonly address: string; }[]; readonly lifetimeMs: number; };

const ASK_TIMEOUT_MS = 1_000;

/** Keeps the addresses that the routers name, for their lifetime. */
export class AddressBook {
    private addresses: string[];
    private validUntil = 0;

    constructor(private readonly known: readonly string[], private readonly credential: string) {
        this.addresses = [...known];
    }

    /** Returns the addresses to use, best first. The ones known from the start come last. */
    async current(now: number, dispatcher: Dispatcher): Promise<string[]> {
        if (now >= this.validUntil) {
            await this.refresh(now, dispatcher);
        }
        return [...this.addresses, ...this.known.filter((address) => !this.addresses.includes(address))];
    }

    /** Moves an address that failed to the end. */
    demote(address: string): void {
        this.addresses = [...this.addresses.filter((other) => other !== address), address];
        this.validUntil = 0;
    }

    private async refresh(now: number, dispatcher: Dispatcher): Promise<void> {
        for (const address of [...this.addresses]) {
            const answer = await this.ask(address, dispatcher);
            if (answer !== undefined && answer.addresses.length > 0) {
                this.addresses = answer.addresses.map((entry) => entry.address);
                this.validUntil = now + answer.lifetimeMs;
                return;
            }
        }
    }

    private async ask(address: string, dispatcher: Dispatcher): Promise<AddressAnswer | undefined> {
        try {
            const headers = { authorization: `Bearer ${this.credential}` };
            const signal = AbortSignal.timeout(ASK_TIMEOUT_MS);
            const response = await request(`${address}/v1/addresses`, { headers, signal, dispatcher });
            const body = await response.body.json() as AddressAnswer;
            return response.statusCode === 200 ? body : undefined;
        }
        catch {
            return undefined;
        }
    }
}
