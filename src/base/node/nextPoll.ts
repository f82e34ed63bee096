/**
 * Resolves once the event loop has polled for input and signals, and their callbacks have run. The first immediate may run
 * before the loop has polled again, the second can't.
 */
export async function nextPoll(): Promise<void> {
  await nextImmediate();
  await nextImmediate();
}

function nextImmediate(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
