/** The outcome of an operation that can fail: a value or a typed error. */

/** A success that carries its value. */
export interface Success<T> {
  readonly ok: true;
  readonly value: T;
}

/** A failure that carries its error, usually a tagged union. */
export interface Failure<E> {
  readonly ok: false;
  readonly error: E;
}

/** Either a value or an error; errors are returned, never thrown, where a caller must decide on them. */
export type Result<T, E> = Success<T> | Failure<E>;

/** Wraps a value. */
export function success<T>(value: T): Success<T> {
  return {ok: true, value};
}

/** Wraps an error. */
export function failure<E>(error: E): Failure<E> {
  return {ok: false, error};
}

/** Fails compilation when a tagged union gains a member that a switch misses. */
export function assertNever(value: never): never {
  throw new Error(`Unexpected value: ${JSON.stringify(value)}`);
}
