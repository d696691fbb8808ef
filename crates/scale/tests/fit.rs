//! The fits against data whose form and coefficients are known.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use scale::fit::{FitError, Form, Point, choose_form, fit_form, relative_error};

const SIZES: [f64; 8] = [30.0, 45.0, 60.0, 90.0, 130.0, 180.0, 240.0, 300.0];

fn growth(form: Form, size: f64) -> f64 {
    match form {
        Form::Constant => 500.0,
        Form::Linear => 500.0 + 12.0 * size,
        Form::NLogN => 500.0 + 4.0 * size * size.ln(),
        Form::NSquared => 500.0 + 0.8 * size * size,
    }
}

fn points(form: Form, noise: f64, seed: u64) -> Vec<Point> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut noisy = |size| growth(form, size) * (1.0 + noise * random.random_range(-1.0..=1.0));
    SIZES.iter().map(|&size| Point { size, value: noisy(size) }).collect()
}

#[test]
fn each_form_is_found_again_in_exact_data_with_its_coefficients() {
    for (form, coefficient) in
        [(Form::Constant, 0.0), (Form::Linear, 12.0), (Form::NLogN, 4.0), (Form::NSquared, 0.8)]
    {
        let fit = choose_form(&points(form, 0.0, 1)).unwrap();
        assert_eq!(fit.form, form);
        assert!((fit.constant - 500.0).abs() < 1e-6, "{fit:?}");
        assert!((fit.coefficient - coefficient).abs() < 1e-9, "{fit:?}");
        assert!(fit.residual < 1e-6 && fit.leave_one_out < 1e-6, "{fit:?}");
    }
}

#[test]
fn the_smaller_half_with_two_percent_of_noise_predicts_the_largest_within_a_fifth() {
    for form in Form::ALL {
        for seed in 0..50 {
            let fit = choose_form(&points(form, 0.02, seed)[..4]).unwrap();
            let error = relative_error(fit.predict(300.0), growth(form, 300.0));
            assert!(error < 0.2, "{form:?} with seed {seed}: {fit:?} is {error} off");
        }
    }
}

#[test]
fn noise_alone_does_not_make_a_constant_grow() {
    let grown = (0..200)
        .filter(|&seed| choose_form(&points(Form::Constant, 0.05, seed)).unwrap().form != Form::Constant);
    let grown = grown.count();
    assert!(grown <= 10, "{grown} of 200");
}

#[test]
fn squares_are_told_from_lines_through_five_percent_of_noise() {
    for seed in 0..50 {
        assert_eq!(choose_form(&points(Form::NSquared, 0.05, seed)).unwrap().form, Form::NSquared);
        assert_ne!(choose_form(&points(Form::Linear, 0.05, seed)).unwrap().form, Form::NSquared);
    }
}

#[test]
fn the_leave_one_out_error_is_that_of_refitting_without_each_point() {
    let all = points(Form::Linear, 0.1, 7);
    let squares = (0..all.len()).map(|left_out| {
        let mut others = all.clone();
        let point = others.remove(left_out);
        let fit = fit_form(Form::Linear, &others).unwrap();
        (point.value - fit.predict(point.size)).powi(2)
    });
    let refitted = (squares.sum::<f64>() / all.len() as f64).sqrt();
    let direct = fit_form(Form::Linear, &all).unwrap().leave_one_out;
    assert!((refitted - direct).abs() < 1e-9 * refitted, "{refitted} and {direct}");
}

#[test]
fn points_that_cannot_be_fitted_are_refused() {
    let two = &points(Form::Linear, 0.0, 1)[..2];
    assert_eq!(fit_form(Form::Linear, two), Err(FitError::TooFewSizes { needed: 3, found: 2 }));
    assert!(fit_form(Form::Constant, two).is_ok());
    assert_eq!(choose_form(&[two[0]; 5]), Err(FitError::TooFewSizes { needed: 2, found: 1 }));
    let mut infinite = points(Form::Linear, 0.0, 1);
    infinite[3].value = f64::INFINITY;
    assert_eq!(choose_form(&infinite), Err(FitError::NotFinite { size: 90.0, value: f64::INFINITY }));
    infinite[3] = Point { size: 0.5, value: 1.0 };
    assert_eq!(choose_form(&infinite), Err(FitError::SizeBelowOne(0.5)));
}

#[test]
fn the_error_of_a_prediction_is_a_part_of_the_measured_value() {
    assert_eq!(relative_error(120.0, 100.0), 0.2);
    assert_eq!(relative_error(0.0, 0.0), 0.0);
    assert_eq!(relative_error(3.0, 0.0), 1.0);
}
