/** Drops the oldest entries beyond a limit. */
export function trim(map: Map<string, unknown>, limit: number): void {
  for (const key of map.keys()) {
    if (map.size <= limit) {
      return;
    }
    map.delete(key);
  }
}
