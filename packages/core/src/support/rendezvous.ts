import murmurhash from "murmurhash";

const MOST_KNOWN_HASHES = 100_000;
const memberHashes = new Map<string, number>();

/** Orders members for a key by highest random weight; a change of members moves only the keys it must. */
export function rendezvousOrder<Member extends string>(key: string, members: Iterable<Member>): Member[] {
    const keyHash = murmurhash.v3(key);
    const weighted: { member: Member; weight: number; }[] = [];
    for (const member of members) {
        weighted.push({ member, weight: weightOf(keyHash, member) });
    }
    weighted.sort((first, second) => second.weight - first.weight || (first.member < second.member ? -1 : 1));
    return weighted.map((entry) => entry.member);
}

/** Returns the first member of a key's order. */
export function rendezvousFirst<Member extends string>(key: string, members: readonly Member[]): Member | undefined {
    const keyHash = murmurhash.v3(key);
    let first: Member | undefined;
    let most = -1;
    for (const member of members) {
        const weight = weightOf(keyHash, member);
        if (weight > most || (weight === most && member < first!)) {
            first = member;
            most = weight;
        }
    }
    return first;
}

// The finalizer of MurmurHash3 mixes the two hashes, so that each key has an order of its own.
function weightOf(keyHash: number, member: string): number {
    let mixed = keyHash ^ hashOf(member);
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

function hashOf(member: string): number {
    const known = memberHashes.get(member);
    if (known !== undefined) {
        return known;
    }
    if (memberHashes.size >= MOST_KNOWN_HASHES) {
        memberHashes.clear();
    }
    const hash = murmurhash.v3(member);
    memberHashes.set(member, hash);
    return hash;
}
