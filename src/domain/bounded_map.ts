/** Maps that keep a bounded number of the newest values. */

/**
 * Drops the oldest values of a map.
 *
 * @param map - A map in the order of insertion.
 * @param maxSize - Values that may stay.
 */
export function dropOldest<K, V>(map: Map<K, V>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) {
      return;
    }
    map.delete(key);
  }
}
