/** Deletes the oldest entries until the map has at most `limit`. */
export function evictOldest(map: Map<string, unknown>, limit: number): void {
  for (const key of map.keys()) {
    if (map.size <= limit) {
      return;
    }
    map.delete(key);
  }
}
