/** Keeps the event loop from doing anything else for a time. */
export function blockEventLoop(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end) {
    // Busy.
  }
}
