import { TaskScope } from "../kernel/TaskScope";
import type { EventLog } from "./EventLog";
import { eventKinds } from "./eventKinds";

/**
 * Creates a scope that reports tasks which end with an unexpected error.
 *
 * @param events - receives event 2004
 * @returns the scope
 */
export const createLoggedTaskScope = (events: EventLog): TaskScope =>
    new TaskScope({
        onTaskError: (task, error) => events.emit(eventKinds.taskFailed, { task, error: String(error) }),
    });
