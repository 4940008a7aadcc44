/** An IP number and a port. */
export type LoopbackAddress = { readonly host: string; readonly port: number; };

/** First reserved port; below the ports that the system gives to outgoing connections. */
const FIRST_PORT = 20_000;

let reservedPorts = 0;

/**
 * Reserves an address for a server of this test process. It stays reserved while the server is down: no other test
 * process uses the IP number, and the system gives none of its ports away.
 */
export function reserveLoopbackAddress(): LoopbackAddress {
    return { host: loopbackHost(process.pid), port: FIRST_PORT + reservedPorts++ };
}

// Process ids have at most 22 bits. 127.0.0.1 and its neighbors, which other programs use, are left out.
function loopbackHost(processId: number): string {
    return `127.${64 + (processId >> 16)}.${(processId >> 8) & 0xff}.${processId & 0xff}`;
}
