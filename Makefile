.PHONY: build test lint run demo site-files clean

build: .venv/made-from

.venv/made-from: requirements.txt
	python3 -m venv --clear .venv
	.venv/bin/pip install -q --disable-pip-version-check -r requirements.txt
	cp requirements.txt $@

.venv-dev/made-from: $(wildcard requirements*.txt)
	python3 -m venv --clear .venv-dev
	.venv-dev/bin/pip install -q --disable-pip-version-check -r requirements-dev.txt
	cat requirements*.txt > $@

.venv-lab/made-from: requirements-lab.txt requirements.txt
	python3 -m venv --clear .venv-lab
	.venv-lab/bin/pip install -q --disable-pip-version-check -r requirements-lab.txt
	cat requirements-lab.txt requirements.txt > $@

# A day with a failing endpoint, on real sockets; the last line is the path of its report.
demo: build .venv-lab/made-from
	.venv-lab/bin/python -m rainspindle lab run experiments/first-day.toml --mode sockets
	@echo "$(CURDIR)/lab-out/first-day-sockets/report.html"

test: .venv-dev/made-from
	bash tests/run

lint: .venv-dev/made-from
	bash tests/lint

# make run CONFIG=config.json
run: build
	.venv/bin/python -O -m rainspindle serve --config $(CONFIG)

# What the bench wants beside the site files of deploy/sites; it stays out of the repository.
# make site-files KIT=../given/kit
SITE_FILES = real.json wire.json unlock.txt
site-files:
	@test -n "$(KIT)" || { echo "usage: make site-files KIT=FOLDER" >&2; exit 2; }
	install -m 644 $(KIT)/sites/real.json $(KIT)/more/wire.json $(KIT)/sites/unlock.txt deploy/sites/

clean:
	rm -rf .venv .venv-dev .venv-lab
	rm -f $(addprefix deploy/sites/,$(SITE_FILES))
