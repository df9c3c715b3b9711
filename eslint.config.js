import { configs, plugins } from 'eslint-config-airbnb-extended';

/** Where time and chance come from outside; everything else is handed a clock and a random source. */
const TIME_AND_CHANCE = [
  { object: 'Date', property: 'now', message: 'Take the Clock that is handed in.' },
  { object: 'Math', property: 'random', message: 'Take the RandomSource that is handed in.' },
  { object: 'performance', property: 'now', message: 'Take the Clock that is handed in.' },
];

export default [
  { ignores: ['node_modules/', 'dist/', 'target/', 'src/gen/'] },
  plugins.stylistic,
  plugins.importX,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false }],
      '@typescript-eslint/no-explicit-any': 'error',
    },
  },
  {
    rules: {
      // Layout of text is the formatter's; its settings follow the Airbnb guide.
      ...Object.fromEntries(
        Object.keys(plugins.stylistic.plugins['@stylistic'].rules).map((name) => [
          `@stylistic/${name}`,
          'off',
        ]),
      ),
      // One task per peer or connection is written straight down: it awaits inside its loop on purpose.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'Use Object.entries.' },
        { selector: 'WithStatement', message: 'with is not allowed.' },
      ],
      'import-x/extensions': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-cycle': ['error', { maxDepth: 4 }],
      'no-void': ['error', { allowAsStatement: true }],
    },
  },
  {
    files: ['src/core/**/*.ts'],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-properties': ['error', ...TIME_AND_CHANCE],
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate'],
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: {
      // node:test collects what describe and it return.
      '@typescript-eslint/no-floating-promises': 'off',
      // Tables of cases define a test in a loop over rows.
      '@typescript-eslint/no-loop-func': 'off',
    },
  },
  {
    files: ['scripts/**', 'demo/**', 'bench/**', 'checks/**', 'soak/**'],
    rules: { 'no-console': 'off' },
  },
];
