/** Straight lines through measured points, from which the cost at the target is worked out. */

/** One measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** `y = intercept + slope * x`, and how well it describes the points. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Share of the variance that the line explains, 0 to 1; 1 where all points have one height. */
  readonly fit: number;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** The least-squares line; throws for fewer than two different x. */
export function fitLine(points: readonly Point[]): Line {
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const varianceX = mean(points.map(({ x }) => (x - meanX) ** 2));
  if (points.length < 2 || varianceX === 0) throw new Error('A line needs two different x.');
  const covariance = mean(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const varianceY = mean(points.map(({ y }) => (y - meanY) ** 2));
  const slope = covariance / varianceX;
  const fit = varianceY === 0 ? 1 : covariance ** 2 / (varianceX * varianceY);
  return { slope, intercept: meanY - slope * meanX, fit };
}

/** The line's height at `x`. */
export function valueAt({ slope, intercept }: Line, x: number): number {
  return intercept + slope * x;
}
