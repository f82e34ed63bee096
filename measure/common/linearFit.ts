/** Least squares fits of measured figures. */

/** One observation: a figure and what it may depend on, in the order of the coefficients. */
export interface Observation {
  readonly figure: number;
  readonly regressors: readonly number[];
}

/** A line through measured points and how well it explains them. */
export interface Line {
  readonly intercept: number;
  readonly slope: number;
  /** Share of the variance explained, at most 1. */
  readonly explained: number;
}

/** Coefficients that fit the observations best; throws when the regressors don't tell them apart. */
export function fitCoefficients(
  observations: readonly Observation[],
): readonly number[] {
  const size = observations[0]?.regressors.length ?? 0;
  const rows = Array.from({length: size}, (_, row) => [
    ...Array.from({length: size}, (_, column) =>
      sum(observations, one => one.regressors[row] * one.regressors[column]),
    ),
    sum(observations, one => one.regressors[row] * one.figure),
  ]);
  return solveRows(rows);
}

/** The line through points of a figure over one quantity. */
export function fitLine(
  points: ReadonlyArray<{readonly at: number; readonly figure: number}>,
): Line {
  const [intercept, slope] = fitCoefficients(
    points.map(({at, figure}) => ({figure, regressors: [1, at]})),
  );
  const mean = sum(points, point => point.figure) / points.length;
  const total = sum(points, point => (point.figure - mean) ** 2);
  const left = sum(
    points,
    point => (point.figure - intercept - slope * point.at) ** 2,
  );
  return {intercept, slope, explained: total === 0 ? 1 : 1 - left / total};
}

/** The line's figure at a quantity. */
export function lineAt(line: Line, at: number): number {
  return line.intercept + line.slope * at;
}

function sum<T>(items: readonly T[], of: (item: T) => number): number {
  return items.reduce((total, item) => total + of(item), 0);
}

/** Gauss-Jordan elimination with row exchange over an augmented matrix, in place. */
function solveRows(rows: number[][]): readonly number[] {
  const size = rows.length;
  for (let column = 0; column < size; column++) {
    const pivot = largestRow(rows, column);
    [rows[column], rows[pivot]] = [rows[pivot], rows[column]];
    const divisor = rows[column][column];
    if (Math.abs(divisor) < Number.EPSILON) {
      throw new Error('the observations do not determine all coefficients');
    }
    rows[column] = rows[column].map(value => value / divisor);
    for (let row = 0; row < size; row++) {
      if (row !== column) {
        const factor = rows[row][column];
        rows[row] = rows[row].map(
          (value, index) => value - factor * rows[column][index],
        );
      }
    }
  }
  return rows.map(row => row[size]);
}

function largestRow(rows: readonly number[][], column: number): number {
  let best = column;
  for (let row = column + 1; row < rows.length; row++) {
    if (Math.abs(rows[row][column]) > Math.abs(rows[best][column])) {
      best = row;
    }
  }
  return best;
}
