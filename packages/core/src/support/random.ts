import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** A seeded random number generator. */
export type Random = RandomGenerator;

/** Creates a generator; the same seed gives the same numbers. */
export function createRandom(seed: number): Random {
    return xoroshiro128plus(seed);
}

/** Returns an integer from 0 to bound - 1. */
export function randomBelow(random: Random, bound: number): number {
    return bound <= 1 ? 0 : uniformInt(random, 0, bound - 1);
}

/** Returns a number from 0 up to, but not including, 1. */
export function randomFraction(random: Random): number {
    return uniformInt(random, 0, 0x3fffffff) / 0x40000000;
}

/** Returns a random element, or undefined for an empty list. */
export function randomElement<Element>(random: Random, elements: readonly Element[]): Element | undefined {
    return elements[randomBelow(random, elements.length)];
}
