/** Values that go to several peers unchanged. */

const sharedValues = new WeakSet<object>();

/**
 * Marks a value that goes to several peers, so that a network may encode it
 * once for all of them.
 *
 * @param value - Plain data that never changes from now on.
 */
export function shareValue(value: object): void {
  sharedValues.add(value);
}

/**
 * Tells whether a value is marked as shared.
 *
 * @param value - Part of a message.
 */
export function isSharedValue(value: unknown): value is object {
  return typeof value === "object" && value !== null && sharedValues.has(value);
}
