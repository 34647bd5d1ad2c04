/** Waiting for an abort signal at little cost. */
import { CallbackList } from "./callback_list.ts";

const lists = new WeakMap<AbortSignal, CallbackList>();

/**
 * Calls a function when a signal aborts. All functions share one listener,
 * because a listener of its own costs several times as much as a short wait.
 * The listener stays until the signal aborts.
 *
 * @param signal - The signal; nothing is called when it has aborted already.
 * @param callback - Called at most once; must not throw.
 * @returns A function that removes the callback.
 */
export function onAbort(signal: AbortSignal, callback: () => void): () => void {
  return findList(signal).add(callback);
}

function findList(signal: AbortSignal): CallbackList {
  const known = lists.get(signal);
  if (known !== undefined) {
    return known;
  }
  const list = new CallbackList();
  lists.set(signal, list);
  signal.addEventListener("abort", () => list.callAll(), { once: true });
  return list;
}
