import TinyQueue from "tinyqueue";

type Due<Task> = { readonly at: number; readonly task: Task; };

/** Tasks ordered by due time in ms. */
export type DueQueue<Task> = { readonly entries: TinyQueue<Due<Task>>; };

/** Creates an empty queue. */
export function createDueQueue<Task>(): DueQueue<Task> {
    return { entries: new TinyQueue<Due<Task>>([], (first, second) => first.at - second.at) };
}

/** Adds a task that is due at a time in ms. */
export function schedule<Task>(queue: DueQueue<Task>, at: number, task: Task): void {
    queue.entries.push({ at, task });
}

/** Removes and returns the earliest task that is due by now, if any. */
export function takeDue<Task>(queue: DueQueue<Task>, now: number): Task | undefined {
    const first = queue.entries.peek();
    if (first === undefined || first.at > now) {
        return undefined;
    }
    queue.entries.pop();
    return first.task;
}

/** Returns the due time of the earliest task in ms. */
export function earliestDue<Task>(queue: DueQueue<Task>): number | undefined {
    return queue.entries.peek()?.at;
}
