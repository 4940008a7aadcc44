import { addressesFor } from "../systems/membership.js";
import { nextTickAt, tick } from "../tick.js";
import type { AccountId } from "../types/ids.js";
import type { Effect, Message } from "../types/messages.js";
import { createWorld, type World, type WorldOptions } from "../world.js";

/** Decides for one router: the real decisions, or a baseline to compare them with. */
export abstract class RouterBrain {
    abstract tick(now: number, inbox: readonly Message[]): Effect[];
    abstract nextTickAt(): number;
    /** Addresses that it would name to a caller, best first. */
    abstract addresses(account: AccountId, now: number): string[];
    /** Tables of the real decisions; undefined for a baseline. */
    abstract readonly world: World | undefined;
}

/** The decisions of this package. */
export class CoreBrain extends RouterBrain {
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
