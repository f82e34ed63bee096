/** Least-squares fits of measurements. */

/** A measurement and the values of its regressors, in the order of the coefficients. */
export interface Observation {
  readonly measurement: number;
  readonly regressors: readonly number[];
}

/** A fitted line and its goodness of fit. */
export interface Line {
  readonly intercept: number;
  readonly slope: number;
  /** Coefficient of determination: share of the variance that the line explains, at most 1. */
  readonly rSquared: number;
}

/** Computes the least-squares coefficients. @throws when the regressors are linearly dependent. */
export function fitCoefficients(
  observations: readonly Observation[],
): readonly number[] {
  const size = observations[0]?.regressors.length ?? 0;
  const rows = Array.from({length: size}, (_, row) => [
    ...Array.from({length: size}, (_, column) =>
      sum(
        observations,
        observation =>
          observation.regressors[row] * observation.regressors[column],
      ),
    ),
    sum(
      observations,
      observation => observation.regressors[row] * observation.measurement,
    ),
  ]);
  return solveLinearSystem(rows);
}

/** Fits a line through points. @throws when all of them have the same x. */
export function fitLine(
  points: ReadonlyArray<{readonly x: number; readonly y: number}>,
): Line {
  const [intercept, slope] = fitCoefficients(
    points.map(({x, y}) => ({measurement: y, regressors: [1, x]})),
  );
  const mean = sum(points, point => point.y) / points.length;
  const totalSquares = sum(points, point => (point.y - mean) ** 2);
  const residualSquares = sum(
    points,
    point => (point.y - intercept - slope * point.x) ** 2,
  );
  return {
    intercept,
    slope,
    rSquared: totalSquares === 0 ? 1 : 1 - residualSquares / totalSquares,
  };
}

export function evaluateLine(line: Line, x: number): number {
  return line.intercept + line.slope * x;
}

function sum<T>(items: readonly T[], select: (item: T) => number): number {
  return items.reduce((total, item) => total + select(item), 0);
}

/** Solves an augmented matrix in place by Gauss-Jordan elimination with partial pivoting. */
function solveLinearSystem(rows: number[][]): readonly number[] {
  const size = rows.length;
  for (let column = 0; column < size; column++) {
    const pivot = findPivotRow(rows, column);
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

function findPivotRow(rows: readonly number[][], column: number): number {
  let best = column;
  for (let row = column + 1; row < rows.length; row++) {
    if (Math.abs(rows[row][column]) > Math.abs(rows[best][column])) {
      best = row;
    }
  }
  return best;
}
