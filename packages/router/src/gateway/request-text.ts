import { type Dispatcher, request } from "undici";
import { ByteBuffer } from "./byte-buffer.js";

/** Maximum bytes of a response; a page of the store has about 1 MB, and relayed changes of the store a few. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

/** A request whose response is read as text. */
export type TextRequest = {
    readonly method: "GET" | "POST" | "DELETE";
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly dispatcher: Dispatcher;
    /** Time in ms within which the response must begin. */
    readonly timeoutMs: number;
    /** Longest pause in ms in a response that has begun: a slow link may take long for a large one. */
    readonly stallMs: number;
    /** Called when the response begins and for each part of it. */
    readonly onProgress?: () => void;
};

/** A response that has arrived in full. */
export type TextResponse = {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly text: string;
};

/** Sends a request and reads its response. Rejects if the response does not begin in time, or stalls. */
export async function requestText(url: string, options: TextRequest): Promise<TextResponse> {
    const { timeoutMs, stallMs, onProgress, ...rest } = options;
    const controller = new AbortController();
    const abort = (): void => controller.abort(new Error(`no response from ${new URL(url).host} in time`));
    let timer = setTimeout(abort, timeoutMs);
    try {
        const response = await request(url, { ...rest, signal: controller.signal });
        const body = new ByteBuffer();
        timer = restart(timer, abort, stallMs);
        onProgress?.();
        for await (const chunk of response.body) {
            body.add(chunk as Buffer);
            if (body.length > MAX_RESPONSE_BYTES) {
                throw new Error(`response from ${new URL(url).host} exceeds ${MAX_RESPONSE_BYTES} bytes`);
            }
            timer = restart(timer, abort, stallMs);
            onProgress?.();
        }
        return { status: response.statusCode, headers: response.headers, text: body.take().toString() };
    }
    finally {
        clearTimeout(timer);
    }
}

function restart(timer: NodeJS.Timeout, callback: () => void, delayMs: number): NodeJS.Timeout {
    clearTimeout(timer);
    return setTimeout(callback, delayMs);
}
