/** The outcome of an operation that can fail: a value or a typed error. */

/** A successful result. */
export interface Success<T> {
  readonly ok: true;
  readonly value: T;
}

/** A failed result; the error is usually a discriminated union. */
export interface Failure<E> {
  readonly ok: false;
  readonly error: E;
}

/** Either a value or an error; errors that the caller has to handle are returned, not thrown. */
export type Result<T, E> = Success<T> | Failure<E>;

export function success<T>(value: T): Success<T> {
  return {ok: true, value};
}

export function failure<E>(error: E): Failure<E> {
  return {ok: false, error};
}

/** Causes a compile error where a switch does not cover every member of a discriminated union. */
export function assertNever(value: never): never {
  throw new Error(`Unexpected value: ${JSON.stringify(value)}`);
}
