import murmurhash from "murmurhash";

const MAX_CACHED_HASHES = 100_000;
const memberHashes = new Map<string, number>();

/** Orders members for a key by highest random weight; adding or removing a member moves a minimum of keys. */
export function rendezvousOrder<Member extends string>(key: string, members: Iterable<Member>): Member[] {
    const keyHash = murmurhash.v3(key);
    const weighted: { member: Member; weight: number; }[] = [];
    for (const member of members) {
        weighted.push({ member, weight: weightOf(keyHash, member) });
    }
    weighted.sort((first, second) => second.weight - first.weight || (first.member < second.member ? -1 : 1));
    return weighted.map((entry) => entry.member);
}

/** Returns the member that comes first in rendezvousOrder, without sorting. */
export function rendezvousFirst<Member extends string>(key: string, members: readonly Member[]): Member | undefined {
    const keyHash = murmurhash.v3(key);
    let first: Member | undefined;
    let maxWeight = -1;
    for (const member of members) {
        const weight = weightOf(keyHash, member);
        if (weight > maxWeight || (weight === maxWeight && member < first!)) {
            first = member;
            maxWeight = weight;
        }
    }
    return first;
}

// Mixing the hashes with MurmurHash3's finalizer makes the order of members depend on the key.
function weightOf(keyHash: number, member: string): number {
    let mixed = keyHash ^ hashOf(member);
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

function hashOf(member: string): number {
    const cached = memberHashes.get(member);
    if (cached !== undefined) {
        return cached;
    }
    if (memberHashes.size >= MAX_CACHED_HASHES) {
        memberHashes.clear();
    }
    const hash = murmurhash.v3(member);
    memberHashes.set(member, hash);
    return hash;
}
