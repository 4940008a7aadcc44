// What the cases on answers without a length share.
import { call, configurationOf, sleep } from "./fleet.mjs";
import { wholeBody } from "./runner.mjs";

const KEY = "n2ctnfzs989anu6wsjnb";
const ZONES = ["pl-south-a", "pl-south-b", "pl-south-c"];
/** Time in ms in which routers discover one another. */
const DISCOVERY_MS = 3_000;

/** Starts a fleet of three routers before four model runners and two record servers. */
export async function startFleet(fleet) {
    await fleet.start(configurationOf({
        routes: [
            { prefix: "/events/", kind: "streaming", service: "huvo11a", timeoutMs: 12_000 },
            { prefix: "/record/", kind: "unsafe", service: "wuno96b", timeoutMs: 12_000 },
        ],
        tenants: [{ name: "hule930", apiKeys: [KEY], priority: 1, prepaid: 3_264_680 }],
    }));
    for (let index = 0; index < 4; index++) {
        await fleet.startRunner(`i-7f3a91c${index}`, "huvo11a", ZONES[index % ZONES.length]);
    }
    for (let index = 0; index < 2; index++) {
        await fleet.startRunner(`i-02d9e6b${index}`, "wuno96b", ZONES[index], 6);
    }
    for (const zone of ZONES) {
        await fleet.startRouter(`front-${zone}-1`, zone);
    }
    for (const router of fleet.routers) {
        await fleet.waitReady(router);
    }
    await sleep(DISCOVERY_MS);
}

/** Sends a request for an answer without a length. Returns what breaks the rule about its answer. */
export async function request(fleet, router, form, number) {
    const id = `9c41d07be2a35f${number.toString(16).padStart(2, "0")}`;
    const engineFields = { Model: "m", "Token-Count": "1460,100", "Prompt-Prefix": `91bd3f${number}:1460` };
    fleet.record(`client sends ${id} /${form}/2f to ${router.name}`);
    const answer = await call(router.front, {
        path: `/${form}/2f`,
        headers: {
            "Request-Id": id,
            "Deadline-Ms": 12_000,
            Authorization: `Bearer ${KEY}`,
            ...(form === "events" ? engineFields : {}),
        },
    });
    const expected = wholeBody[form];
    fleet.record(
        `client got ${id}: status ${answer.status}, seal ${answer.field?.("response-seal")}, body ended by `
            + `${answer.framing}, connection ${answer.end}, complete by HTTP/1.1 ${answer.whole}, `
            + `${answer.body?.length} of the ${expected.length} bytes of the runner's body`,
    );
    return answer.status === 200 && answer.whole && answer.body !== expected
        ? [`MIXED ${id}: a 200 that looks complete has ${answer.body.length} of ${expected.length} bytes`]
        : [];
}
