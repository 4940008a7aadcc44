import { addressesFor } from "../systems/membership.js";
import { nextTickAt, tick } from "../tick.js";
import type { AccountId } from "../types/ids.js";
import type { Effect, Message } from "../types/messages.js";
import { createWorld, type World, type WorldOptions } from "../world.js";

/** Decision logic of one simulated router: that of this package, or a baseline for comparison. */
export abstract class RouterStrategy {
    abstract tick(now: number, inbox: readonly Message[]): Effect[];
    abstract nextTickAt(): number;
    /** Router addresses that it would return to a caller, best first. `now` is in ms. */
    abstract addresses(account: AccountId, now: number): string[];
    /** State tables of the logic of this package; undefined for a baseline. */
    abstract readonly world: World | undefined;
}

/** The decision logic of this package. */
export class CoreStrategy extends RouterStrategy {
    override readonly world: World;

    constructor(options: WorldOptions) {
        super();
        this.world = createWorld(options);
    }

    override tick(now: number, inbox: readonly Message[]): Effect[] {
        return tick(this.world, now, inbox);
    }

    override nextTickAt(): number {
        return nextTickAt(this.world);
    }

    override addresses(account: AccountId, now: number): string[] {
        return addressesFor(this.world, account, now).map((router) => router.address);
    }
}
