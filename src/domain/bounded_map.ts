/** Helper for maps that keep a bounded number of their newest values. */

/**
 * Removes the oldest values of a map until it has at most `maxSize` values.
 *
 * @param map - The map; the values that were inserted first are the oldest.
 * @param maxSize - Maximum number of values that remain.
 */
export function dropOldest<K, V>(map: Map<K, V>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) {
      return;
    }
    map.delete(key);
  }
}
