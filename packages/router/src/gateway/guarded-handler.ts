import type { Dispatcher } from "undici";

/** Events of one send to an endpoint. */
export type SendEvents = {
    readonly start: (controller: Dispatcher.DispatchController) => void;
    readonly head: (controller: Dispatcher.DispatchController, status: number) => void;
    readonly data: (chunk: Buffer) => void;
    readonly end: () => void;
    readonly error: (error: Error) => void;
};

/** Returns a callback that passes the errors it throws to a handler. */
export function guard<Values extends unknown[]>(
    callback: (...values: Values) => void,
    onUnexpectedError: (error: Error) => void,
): (...values: Values) => void {
    return (...values) => {
        try {
            callback(...values);
        }
        catch (error) {
            onUnexpectedError(error as Error);
        }
    };
}

/** Returns a handler for the HTTP client, which would drop the errors that its callbacks throw. */
export function guardedHandler(
    events: SendEvents,
    onUnexpectedError: (error: Error) => void,
): Dispatcher.DispatchHandler {
    return {
        onRequestStart: guard(events.start, onUnexpectedError),
        onResponseStart: guard(events.head, onUnexpectedError),
        onResponseData: guard((unusedController, chunk: Buffer) => events.data(chunk), onUnexpectedError),
        onResponseEnd: guard(events.end, onUnexpectedError),
        onResponseError: guard((unusedController, error: Error) => events.error(error), onUnexpectedError),
    };
}
