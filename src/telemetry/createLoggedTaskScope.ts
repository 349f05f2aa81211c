import { TaskScope } from "../kernel/TaskScope";
import type { EventLog } from "./EventLog";
import { eventKinds } from "./eventKinds";

/**
 * Creates a task scope that emits an event for each task that ends with an unexpected error.
 *
 * @param events - receives the event `task-failed` (2004)
 * @returns the scope
 */
export const createLoggedTaskScope = (events: EventLog): TaskScope =>
    new TaskScope({
        onTaskError: (taskName, error) =>
            events.emit(eventKinds.taskFailed, { task: taskName, error: String(error) }),
    });
