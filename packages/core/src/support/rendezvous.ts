import murmurhash from "murmurhash";

/** Orders members for a key by highest random weight; a change of members moves only the keys it must. */
export function rendezvousOrder<Member extends string>(key: string, members: Iterable<Member>): Member[] {
    const weighted: { member: Member; weight: number; }[] = [];
    for (const member of members) {
        weighted.push({ member, weight: murmurhash.v3(`${key}\n${member}`) });
    }
    weighted.sort((first, second) => second.weight - first.weight || (first.member < second.member ? -1 : 1));
    return weighted.map((entry) => entry.member);
}
