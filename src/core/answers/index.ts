/** Whether an answer is whole, and the right one. */
export { createLengthCheck } from './length-check';
export type { LengthCheck } from './length-check';
