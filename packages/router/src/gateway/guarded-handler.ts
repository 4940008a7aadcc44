import type { Dispatcher } from "undici";

/** Pieces of one response that are handled before other events: one read of a socket may hold 10,000. */
const MAX_PIECES_PER_TURN = 128;
/** Interim responses (1xx) to one request; they are ignored, and an endpoint has no use for more. */
const MAX_INTERIM_RESPONSES = 16;
const FIRST_INTERIM_STATUS = 100;
const FIRST_FINAL_STATUS = 200;

/** Events of one send to an endpoint. */
export type SendEvents = {
    readonly start: (controller: Dispatcher.DispatchController) => void;
    readonly head: (controller: Dispatcher.DispatchController, status: number) => void;
    readonly data: (chunk: Buffer) => void;
    readonly end: () => void;
    readonly error: (error: Error) => void;
    /** Whether the response is paused until its caller reads on. */
    readonly isPaused: () => boolean;
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

/**
 * Returns a handler for the HTTP client, which would drop the errors that its callbacks throw. It keeps one response
 * from taking all of the process's time.
 */
export function guardedHandler(
    events: SendEvents,
    onUnexpectedError: (error: Error) => void,
): Dispatcher.DispatchHandler {
    let interimResponses = 0;
    let piecesInTurn = 0;
    const receiveHead = (controller: Dispatcher.DispatchController, status: number): void => {
        // A status below both is invalid, and is judged like that of a final response.
        if (status < FIRST_INTERIM_STATUS || status >= FIRST_FINAL_STATUS) {
            return events.head(controller, status);
        }
        interimResponses++;
        if (interimResponses > MAX_INTERIM_RESPONSES) {
            controller.abort(new Error(`more than ${MAX_INTERIM_RESPONSES} interim responses`));
        }
    };
    const endTurn = (controller: Dispatcher.DispatchController): void => {
        piecesInTurn = 0;
        if (!events.isPaused()) {
            controller.resume();
        }
    };
    const receiveData = (controller: Dispatcher.DispatchController, piece: Buffer): void => {
        events.data(piece);
        piecesInTurn++;
        if (piecesInTurn === MAX_PIECES_PER_TURN) {
            controller.pause();
            setImmediate(guard(endTurn, onUnexpectedError), controller);
        }
    };
    return {
        onRequestStart: guard(events.start, onUnexpectedError),
        onResponseStart: guard(receiveHead, onUnexpectedError),
        onResponseData: guard(receiveData, onUnexpectedError),
        onResponseEnd: guard(events.end, onUnexpectedError),
        onResponseError: guard((unusedController, error: Error) => events.error(error), onUnexpectedError),
    };
}
